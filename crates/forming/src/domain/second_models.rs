use std::cmp::Reverse;

use celeryhaven_fleet::{ModelProfile, TargetEntry, TargetPhase};
use celeryhaven_types::{ModelName, TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::domain::free::{Warmth, warmth};
use crate::domain::staging::empty_targets;
use crate::interface::FormingView;

impl DomainPlanner {
    /// Returns serving targets that should stage a second model, and which model.
    ///
    /// Survivors of a replica that lost a member can then complete replicas of another model
    /// instead of being idle until a load has finished. Picks the model that the fewest serving
    /// targets have. Once callers are served, loads for empty targets take precedence.
    pub(crate) fn second_loads_wanted(
        &self,
        now: TimeMs,
        view: FormingView<'_>,
    ) -> Vec<(VmName, ModelName)> {
        if self.serves_callers(view) == Some(true) && empty_targets(view) > 0 {
            return Vec::new();
        }
        let serving: Vec<&TargetEntry> = self.serving(view).collect();
        let mut hosts = self.hosts_per_model(view, &serving);
        let may_load = |entry: &&TargetEntry| {
            !self.staging.contains_key(&entry.name)
                && self.may_stage(now, &entry.name)
                && !has_second_model(entry)
        };
        let mut loads = Vec::new();
        for entry in serving.iter().copied().filter(may_load) {
            let cold = hosts.iter_mut().filter(|(_, m)| warmth(entry, &m.name) == Warmth::Cold);
            let fewest = cold.min_by_key(|(hosts, model)| (*hosts, Reverse(model.size)));
            if let Some((hosts, model)) = fewest {
                *hosts += 1;
                loads.push((entry.name.clone(), model.name.clone()));
            }
        }
        loads
    }

    /// Returns each model with the number of these targets that have it or are loading it.
    fn hosts_per_model<'a>(
        &self,
        view: FormingView<'a>,
        targets: &[&TargetEntry],
    ) -> Vec<(usize, &'a ModelProfile)> {
        let hosts = |model: &ModelProfile| {
            targets.iter().filter(|entry| self.is_warm_or_loading(entry, &model.name)).count()
        };
        view.profile.models.iter().map(|model| (hosts(model), model)).collect()
    }

    /// Returns the reachable targets of the domain whose replica serves.
    fn serving<'a>(&self, view: FormingView<'a>) -> impl Iterator<Item = &'a TargetEntry> {
        let open = self.open_replicas(view);
        let members = open.flat_map(|replica| replica.members.iter().flatten());
        let reachable = members.filter(|name| self.is_reachable(name));
        let listed = reachable.filter_map(move |name| view.fleet.target(name));
        listed.filter(|entry| entry.phase == TargetPhase::Ready)
    }
}

/// Whether a target has staged a model that it does not serve, which another load would evict.
fn has_second_model(entry: &TargetEntry) -> bool {
    entry.staged.iter().any(|staged| entry.model.as_ref() != Some(staged))
}
