use std::cmp::Reverse;

use celeryhaven_fleet::{ModelProfile, TargetEntry, TargetPhase};
use celeryhaven_types::{ModelName, TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::domain::free::{Warmth, warmth};
use crate::domain::staging::empty_targets;
use crate::interface::FormingView;

impl DomainPlanner {
    /// Serving targets that should stage another model beside the one that they serve, and which.
    ///
    /// Load: a replica loses a member every few seconds, and its survivors are too few for another
    /// of its size. Harm: they stand idle until a load of many seconds is over, while members of
    /// other replicas nearby could complete them. Limit: the model that fewest targets of the domain
    /// have; once callers come, only while no target is empty, since those need the loads more.
    pub(crate) fn second_loads_wanted(
        &self,
        now: TimeMs,
        view: FormingView<'_>,
    ) -> Vec<(VmName, ModelName)> {
        if self.serves_callers(view) == Some(true) && empty_targets(view) > 0 {
            return Vec::new();
        }
        let serving: Vec<&TargetEntry> = self.serving(view).collect();
        let mut hosts = self.hosts_of_models(view, &serving);
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

    /// How many of these targets have each model or are loading it.
    fn hosts_of_models<'a>(
        &self,
        view: FormingView<'a>,
        targets: &[&TargetEntry],
    ) -> Vec<(usize, &'a ModelProfile)> {
        let hosts = |model: &ModelProfile| {
            targets.iter().filter(|entry| self.is_or_gets_warm(entry, &model.name)).count()
        };
        view.profile.models.iter().map(|model| (hosts(model), model)).collect()
    }

    /// Sound targets of the domain whose replica serves.
    fn serving<'a>(&self, view: FormingView<'a>) -> impl Iterator<Item = &'a TargetEntry> {
        let open = self.open_replicas(view);
        let members = open.flat_map(|replica| replica.members.iter().flatten());
        let sound = members.filter(|name| !self.unreachable.contains_key(*name));
        let listed = sound.filter_map(move |name| view.fleet.target(name));
        listed.filter(|entry| entry.phase == TargetPhase::Ready)
    }
}

/// Whether a host has staged a model that it does not serve, which another load would drop.
fn has_second_model(entry: &TargetEntry) -> bool {
    entry.staged.iter().any(|staged| entry.model.as_ref() != Some(staged))
}
