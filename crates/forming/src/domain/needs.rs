use celeryhaven_fleet::EngineProfile;
use celeryhaven_types::ModelName;

use crate::mix::ModelCount;

/// Members that a domain may lose while a load of many seconds is under way.
///
/// A load takes as long as it takes for one or two of a domain's targets to be lost where losses are
/// steady.
const LOSSES_PER_LOAD: f64 = 1.5;

/// So many free targets should have this model.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Need {
    pub(crate) model: ModelName,
    pub(crate) targets: usize,
    /// Whether they make a replica; else they are spares.
    pub(crate) is_replica: bool,
}

/// What a domain's free targets should have staged, the most worth a load first.
///
/// Load: losses and empty targets that come faster than the weights store loads. Harm: every load
/// that does not make a replica whole keeps one waiting that would. Limit: replicas come in the
/// order of the targets that serve again for each second of loading, then spares.
#[derive(Clone, Debug)]
pub(crate) struct Needs {
    wanted: Vec<ModelCount>,
    load_ms: Vec<u64>,
    /// Replicas of each model that are still to be counted.
    missing: Vec<usize>,
    spares: Vec<u32>,
    /// Free targets that nothing counts on yet.
    room: usize,
}

impl Needs {
    /// The needs of a domain that wants these replicas, lacks some and has so many free targets.
    pub(crate) fn new(
        wanted: Vec<ModelCount>,
        missing: impl Fn(&ModelCount) -> usize,
        profile: &EngineProfile,
        room: usize,
    ) -> Self {
        let load_ms =
            |count: &ModelCount| profile.model(&count.model).map_or(1, |model| model.load_ms);
        Self {
            missing: wanted.iter().map(&missing).collect(),
            load_ms: wanted.iter().map(load_ms).collect(),
            spares: vec![0; wanted.len()],
            wanted,
            room,
        }
    }

    /// The next need; `warm` tells how many targets that nothing counts on have a model.
    pub(crate) fn next(&mut self, warm: impl Fn(&ModelName) -> usize) -> Option<Need> {
        if let Some(index) = self.nearest(warm) {
            self.missing[index] -= 1;
            return Some(self.count_on(index, self.wanted[index].size, true));
        }
        let index = self.most_useful_spare()?;
        self.spares[index] += 1;
        Some(self.count_on(index, 1, false))
    }

    fn count_on(&mut self, index: usize, targets: usize, is_replica: bool) -> Need {
        self.room -= targets;
        Need { model: self.wanted[index].model.clone(), targets, is_replica }
    }

    /// The model whose next replica brings the most targets back for each second of loading.
    fn nearest(&self, warm: impl Fn(&ModelName) -> usize) -> Option<usize> {
        let fits = |&index: &usize| {
            self.missing[index] > 0 && (1..=self.room).contains(&self.wanted[index].size)
        };
        let gain = |index: usize| {
            let count = &self.wanted[index];
            let loads = count.size.saturating_sub(warm(&count.model));
            count.size as f64 / (loads as f64 * self.load_ms[index].max(1) as f64)
        };
        let gains: Vec<(usize, f64)> =
            (0..self.wanted.len()).filter(fits).map(|index| (index, gain(index))).collect();
        let most = gains.into_iter().max_by(|a, b| a.1.total_cmp(&b.1).then(b.0.cmp(&a.0)));
        most.map(|(index, _)| index)
    }

    /// The model whose next spare saves the most: its replicas stand still for want of one member,
    /// and the larger they are the more targets stand still with it.
    fn most_useful_spare(&self) -> Option<usize> {
        if self.room == 0 {
            return None;
        }
        let members = |count: &ModelCount| (count.replicas * count.size) as f64;
        let all: f64 = self.wanted.iter().map(members).sum();
        let saved = |(count, &spares): (&ModelCount, &u32)| {
            let part = members(count) / all.max(1.0);
            chance_of_more(LOSSES_PER_LOAD * part, spares) * count.size.saturating_sub(1) as f64
        };
        let saved: Vec<f64> = self.wanted.iter().zip(&self.spares).map(saved).collect();
        (0..saved.len()).max_by(|&a, &b| saved[a].total_cmp(&saved[b]).then(b.cmp(&a)))
    }
}

/// Chance of more than so many losses where this many are expected (Poisson).
fn chance_of_more(expected: f64, losses: u32) -> f64 {
    let mut term = (-expected).exp();
    let mut up_to = term;
    for number in 1..=losses {
        term *= expected / f64::from(number);
        up_to += term;
    }
    1.0 - up_to
}
