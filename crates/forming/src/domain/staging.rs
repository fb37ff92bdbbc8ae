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

/// The model that each of so many free targets should have, the most needed first: members that
/// missing replicas lack, then spares of each model in turn, the largest replicas' first, which
/// lose a member the most often.
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
    let spares = wanted.iter().map(|count| count.model.clone()).cycle();
    lacking.chain(spares).take(targets).collect()
}
