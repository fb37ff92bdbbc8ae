use std::collections::BTreeMap;

use celeryhaven_fleet::{TargetEntry, TargetOrder};
use celeryhaven_types::{ModelName, TimeMs, VmName};

use crate::domain::DomainFormer;
use crate::domain::free::{Warmth, warmth};
use crate::interface::{FormingAction, FormingView};
use crate::mix::ModelCount;

impl DomainFormer {
    /// Stages a model on free targets, so that they join within two seconds when a replica breaks.
    ///
    /// Load: targets that are lost every few seconds, and empty ones that come. Harm: an empty one
    /// needs a whole load when it is wanted, and its replica is down for as long. Limit: within the
    /// rate of loads; before callers come it waits for the formations.
    pub(crate) fn stage_free(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        out: &mut Vec<FormingAction>,
    ) {
        self.staging.retain(|name, (model, until)| {
            let entry = view.fleet.target(name);
            *until > now && entry.is_some_and(|entry| warmth(entry, model) == Warmth::Cold)
        });
        self.unstageable.retain(|_, until| *until > now);
        if !view.traffic_seen && !self.formations.is_empty() {
            return;
        }
        for (target, model) in self.unmet_needs(view) {
            if view.traffic_seen && !self.loads.take(now, 1) {
                return;
            }
            let load_ms = view.profile.model(&model).map_or(0, |model| model.load_ms);
            let until = now.after(load_ms * self.settings.load_patience);
            self.staging.insert(target.clone(), (model.clone(), until));
            self.send(target, TargetOrder::Stage { model }, out);
        }
    }

    /// Takes over that a target does not stage now, such as one that still stages another model.
    pub(crate) fn stage_failed(&mut self, now: TimeMs, target: &VmName) {
        self.staging.remove(target);
        self.unstageable.insert(target.clone(), now.after(self.settings.stage_again_ms));
    }

    /// Free targets that should stage a model, and which.
    fn unmet_needs(&self, view: FormingView<'_>) -> Vec<(VmName, ModelName)> {
        let mut free: BTreeMap<&VmName, &TargetEntry> =
            self.free_targets(view).into_iter().map(|entry| (&entry.name, entry)).collect();
        let wanted = self.wanted(view);
        let needs = needs(&wanted, &self.held(view), free.len());
        let mut unmet = Vec::new();
        for model in needs {
            let warm = free.values().find(|entry| self.is_or_gets_warm(entry, &model));
            match warm.map(|entry| &entry.name) {
                Some(name) => {
                    free.remove(name);
                }
                None => unmet.push(model),
            }
        }
        let mut left: Vec<_> = free
            .into_values()
            .filter(|entry| !self.staging.contains_key(&entry.name))
            .filter(|entry| !self.unstageable.contains_key(&entry.name))
            .collect();
        // Empty hosts first: nothing is lost by staging there.
        left.sort_by_key(|entry| !entry.staged.is_empty());
        left.iter().map(|entry| entry.name.clone()).zip(unmet).collect()
    }

    fn is_or_gets_warm(&self, entry: &TargetEntry, model: &ModelName) -> bool {
        let staging = self.staging.get(&entry.name);
        match staging {
            Some((staged, _)) => staged == model,
            None => warmth(entry, model) != Warmth::Cold,
        }
    }
}

/// Members that a domain may lose while a load of many seconds is under way.
///
/// Seen on days of steady loss: two targets of a data centre's twenty every three seconds.
const LOSSES_PER_LOAD: f64 = 1.5;

/// The model that each of so many free targets should have, the most needed first: members that
/// missing replicas lack, then spares.
fn needs(
    wanted: &[ModelCount],
    held: &BTreeMap<ModelName, usize>,
    targets: usize,
) -> Vec<ModelName> {
    let lacking = wanted.iter().flat_map(|count| {
        let has = held.get(&count.model).copied().unwrap_or_default();
        let members = count.replicas.saturating_sub(has) * count.size;
        std::iter::repeat_n(count.model.clone(), members)
    });
    let mut needs: Vec<ModelName> = lacking.take(targets).collect();
    let mut spares = vec![0_u32; wanted.len()];
    while needs.len() < targets {
        let Some(best) = most_useful_spare(wanted, &spares) else { break };
        spares[best] += 1;
        needs.push(wanted[best].model.clone());
    }
    needs
}

/// The model whose next spare saves the most: its replicas stand still for want of one member, and
/// the larger they are the more targets stand still with it.
fn most_useful_spare(wanted: &[ModelCount], spares: &[u32]) -> Option<usize> {
    let members: f64 = wanted.iter().map(|count| (count.replicas * count.size) as f64).sum();
    let saved = |(count, &spares): (&ModelCount, &u32)| {
        let part = (count.replicas * count.size) as f64 / members.max(1.0);
        chance_of_more(LOSSES_PER_LOAD * part, spares) * count.size.saturating_sub(1) as f64
    };
    let saved: Vec<f64> = wanted.iter().zip(spares).map(saved).collect();
    (0..saved.len()).max_by(|&a, &b| saved[a].total_cmp(&saved[b]).then(b.cmp(&a)))
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
