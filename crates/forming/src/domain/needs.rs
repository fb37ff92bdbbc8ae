use celeryhaven_fleet::EngineProfile;
use celeryhaven_types::ModelName;

use crate::mix::ModelCount;

/// Targets that a domain is expected to lose while one model is loaded.
///
/// Where losses are steady, a load takes as long as it takes to lose one or two targets of a
/// domain.
const EXPECTED_LOSSES_PER_LOAD: f64 = 1.5;

/// A number of free targets that should have a model.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Need {
    pub(crate) model: ModelName,
    pub(crate) targets: usize,
    /// Whether the targets form a replica. They are spares otherwise.
    pub(crate) is_replica: bool,
}

/// Iterates over the models that the free targets of a domain should have, in order of benefit.
///
/// Loads are scarce when targets are lost faster than the weights store can load models. Replicas
/// come first, by the targets brought back into service per second of loading, then spares.
#[derive(Clone, Debug)]
pub(crate) struct Needs {
    wanted: Vec<ModelCount>,
    load_ms: Vec<u64>,
    /// Replicas of each model that are missing and not reserved yet.
    missing: Vec<usize>,
    spares: Vec<u32>,
    /// Free targets that are not reserved yet.
    free: usize,
}

impl Needs {
    /// Creates the needs of a domain from its wanted and missing replicas and its free targets.
    pub(crate) fn new(
        wanted: Vec<ModelCount>,
        missing: impl Fn(&ModelCount) -> usize,
        profile: &EngineProfile,
        free: usize,
    ) -> Self {
        let load_ms =
            |count: &ModelCount| profile.model(&count.model).map_or(1, |model| model.load_ms);
        Self {
            missing: wanted.iter().map(&missing).collect(),
            load_ms: wanted.iter().map(load_ms).collect(),
            spares: vec![0; wanted.len()],
            wanted,
            free,
        }
    }

    /// Returns the next need. `warm` returns how many unreserved targets have a model.
    pub(crate) fn next(&mut self, warm: impl Fn(&ModelName) -> usize) -> Option<Need> {
        if let Some(index) = self.best_replica(warm) {
            self.missing[index] -= 1;
            return Some(self.reserve(index, self.wanted[index].size, true));
        }
        let index = self.best_spare()?;
        self.spares[index] += 1;
        Some(self.reserve(index, 1, false))
    }

    fn reserve(&mut self, index: usize, targets: usize, is_replica: bool) -> Need {
        self.free -= targets;
        Need { model: self.wanted[index].model.clone(), targets, is_replica }
    }

    /// Returns the model whose next replica restores the most targets per second of loading.
    fn best_replica(&self, warm: impl Fn(&ModelName) -> usize) -> Option<usize> {
        let fits = |&index: &usize| {
            self.missing[index] > 0 && (1..=self.free).contains(&self.wanted[index].size)
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

    /// Returns the model whose next spare is expected to avoid the most idle targets.
    ///
    /// Members of a replica that lacks one member are idle, so spares of large models avoid more.
    fn best_spare(&self) -> Option<usize> {
        if self.free == 0 {
            return None;
        }
        let members = |count: &ModelCount| (count.replicas * count.size) as f64;
        let all: f64 = self.wanted.iter().map(members).sum();
        let saved = |(count, &spares): (&ModelCount, &u32)| {
            let part = members(count) / all.max(1.0);
            poisson_tail(EXPECTED_LOSSES_PER_LOAD * part, spares)
                * count.size.saturating_sub(1) as f64
        };
        let saved: Vec<f64> = self.wanted.iter().zip(&self.spares).map(saved).collect();
        (0..saved.len()).max_by(|&a, &b| saved[a].total_cmp(&saved[b]).then(b.cmp(&a)))
    }
}

/// Returns the probability of more than `losses` losses, by a Poisson distribution.
fn poisson_tail(expected: f64, losses: u32) -> f64 {
    let mut term = (-expected).exp();
    let mut up_to = term;
    for number in 1..=losses {
        term *= expected / f64::from(number);
        up_to += term;
    }
    1.0 - up_to
}
