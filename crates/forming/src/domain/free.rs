use celeryhaven_fleet::{ReplicaKey, TargetEntry, TargetPhase};
use celeryhaven_types::{ModelName, Set, VmName};

use crate::domain::DomainPlanner;
use crate::domain::domain_planner::RecordState;
use crate::interface::FormingView;
use crate::record::PlannedReplica;

/// How fast a free target can serve a model, the fastest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Warmth {
    /// The target served the model last.
    Served,
    /// The model is staged on the target's host.
    Staged,
    /// The model must be loaded from the weights store.
    Cold,
}

pub(crate) fn warmth(entry: &TargetEntry, model: &ModelName) -> Warmth {
    if entry.model.as_ref() == Some(model) {
        Warmth::Served
    } else if entry.staged.contains(model) {
        Warmth::Staged
    } else {
        Warmth::Cold
    }
}

impl DomainPlanner {
    /// Returns the targets that can join a replica now, by name.
    pub(crate) fn free_targets<'a>(&self, view: FormingView<'a>) -> Vec<&'a TargetEntry> {
        let taken = self.taken();
        self.targets_of_domain(view)
            .filter(|entry| entry.phase == TargetPhase::Ready)
            .filter(|entry| !view.fleet.is_lapsed(&entry.name))
            .filter(|entry| self.is_reachable(&entry.name))
            .filter(|entry| !taken.contains(&entry.name) && self.is_in_no_replica(entry))
            .collect()
    }

    /// Returns the listed targets of the domain, by name.
    pub(crate) fn targets_of_domain<'a>(
        &self,
        view: FormingView<'a>,
    ) -> impl Iterator<Item = &'a TargetEntry> {
        let targets = view.domains.iter().find(|domain| *domain.name == self.domain);
        let names = targets.into_iter().flat_map(|domain| domain.targets.names());
        names.filter_map(move |name| view.fleet.target(name))
    }

    /// Whether the domain is in an evacuated data centre: its replicas stay, and nothing is added.
    pub(crate) fn is_evacuated(&self, view: FormingView<'_>) -> bool {
        view.domains.iter().all(|domain| *domain.name != self.domain)
    }

    /// Returns the number of targets of the domain that can be members.
    pub(crate) fn usable_targets(&self, view: FormingView<'_>) -> usize {
        let ready = self.targets_of_domain(view).filter(|e| e.phase == TargetPhase::Ready);
        ready.filter(|entry| !self.unreachable.contains_key(&entry.name)).count()
    }

    /// Returns the number of targets of all domains that can be members.
    pub(crate) fn usable_in_all_domains(&self, view: FormingView<'_>) -> usize {
        let ready: usize = view.domains.iter().map(|domain| domain.targets.ready()).sum();
        let elsewhere = ready - self.ready_targets(view);
        elsewhere + self.usable_targets(view)
    }

    fn ready_targets(&self, view: FormingView<'_>) -> usize {
        self.targets_of_domain(view).filter(|entry| entry.phase == TargetPhase::Ready).count()
    }

    fn is_in_no_replica(&self, entry: &TargetEntry) -> bool {
        entry.membership.as_ref().is_none_or(|membership| {
            let replica = membership.replica.clone();
            let key = ReplicaKey { replica, generation: membership.generation };
            self.left.contains(&(entry.name.clone(), key))
        })
    }

    /// Returns the targets that a formation, a plan or a pending leave includes.
    fn taken(&self) -> Set<VmName> {
        let forming = self.formations.values().flat_map(|formation| formation.members.iter());
        let unlisted = self.unlisted_plans.values().flat_map(|unlisted| unlisted.unresolved.iter());
        let leaving = self.dissolving.values().flat_map(|dissolving| dissolving.remaining.iter());
        forming
            .chain(unlisted)
            .chain(leaving)
            .chain(self.plans_being_written().flat_map(|plan| plan.members.iter()))
            .cloned()
            .collect()
    }

    /// Returns the new plans of a write that is under way.
    pub(crate) fn plans_being_written(&self) -> impl Iterator<Item = &PlannedReplica> {
        let plans = match &self.record {
            RecordState::Writing(record) => record.replicas.as_slice(),
            _ => &[],
        };
        plans.iter().filter(|plan| plan.generation.is_none())
    }
}
