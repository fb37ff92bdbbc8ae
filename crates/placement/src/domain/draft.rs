use std::collections::BTreeSet;

use celeryhaven_derives::state;
use celeryhaven_types::{
    Boot, DeploymentName, DomainPlacement, Priority, ReleasingVm, Replica, ReplicaPhase, TimeMs,
    VmName,
};
use celeryhaven_wholeness::Agreement;

use crate::domain::{
    DomainView, PlacementSettings, PlannerState, VmAvailability, VmState, WantedDeployment,
};

state! {
    /// State of a member with respect to the current formation of its replica.
    #[derive(Copy, Eq)]
    pub(crate) enum MemberState {
        /// It has a fresh report, in which it is ready.
        Agrees,
        /// It has not joined yet.
        Joining,
        /// It has left the formation or restarted, lost contact with a member, or joined with another
        /// boot of one.
        Disagrees,
        /// It is not listed any more, or has been silent for `silent_ms`.
        Lost,
        /// It has no fresh report, but is not lost.
        NotReporting,
    }
}

/// The next placement of a domain, under construction.
#[derive(Debug)]
pub(crate) struct Draft<'a> {
    pub(crate) now: TimeMs,
    pub(crate) settings: PlacementSettings,
    pub(crate) view: DomainView<'a>,
    pub(crate) planner_state: &'a mut PlannerState,
    pub(crate) next: DomainPlacement,
    /// VMs that can be assigned to a replica now.
    pub(crate) free: BTreeSet<VmName>,
    trusts_silence: bool,
}

/// Construction.
impl<'a> Draft<'a> {
    pub(crate) fn new(
        now: TimeMs,
        settings: PlacementSettings,
        view: DomainView<'a>,
        planner_state: &'a mut PlannerState,
    ) -> Self {
        let next = view.placement.clone();
        let mut draft = Self {
            now,
            settings,
            view,
            planner_state,
            next,
            free: BTreeSet::new(),
            trusts_silence: true,
        };
        let contact_with_most_ms =
            draft.planner_state.contact_with_most_ms(now, draft.has_contact_with_most());
        draft.trusts_silence = contact_with_most_ms >= settings.silent_ms;
        draft
    }

    /// Whether this holder has contact with at least half of the domain's VMs.
    ///
    /// Silence of most VMs points to a network fault of the observer or an outage of the domain, so
    /// no member counts as lost then: a controller that is cut off would stop healthy replicas. VMs
    /// that return do so one by one, so silence counts again only after `silent_ms` of contact.
    fn has_contact_with_most(&self) -> bool {
        let listed = self.view.vms.values().filter(|vm| vm.listed);
        let silent = listed.clone().filter(|vm| self.is_silent(vm)).count();
        silent * 2 <= listed.count()
    }

    pub(crate) fn find_free(&self) -> BTreeSet<VmName> {
        let life_ms = self.settings.report_life_ms;
        let is_usable = |vm: &VmState| {
            let report = vm.fresh_report(self.now, life_ms);
            vm.listed
                && vm.availability == VmAvailability::Available
                && report.is_some_and(|timed| timed.report.formation.is_none())
        };
        let usable = self.view.vms.iter().filter(|(_, vm)| is_usable(vm));
        usable.map(|(name, _)| name.clone()).filter(|name| !self.is_placed(name)).collect()
    }

    fn is_placed(&self, vm: &VmName) -> bool {
        self.next.replicas.iter().any(|replica| replica.vms.contains(vm))
            || self.next.releasing.iter().any(|releasing| releasing.vm == *vm)
    }
}

/// State of members.
impl Draft<'_> {
    pub(crate) fn is_silent(&self, vm: &VmState) -> bool {
        self.now.since(vm.last_contact) >= self.settings.silent_ms
    }

    pub(crate) fn is_lost(&self, vm: &VmName) -> bool {
        match self.view.vms.get(vm) {
            Some(state) if state.listed => self.trusts_silence && self.is_silent(state),
            _ => true,
        }
    }

    /// Whether a VM has restarted at least `unsteady_restarts` times within `unsteady_ms`.
    pub(crate) fn is_unsteady(&self, vm: &VmName) -> bool {
        let Some(state) = self.view.vms.get(vm) else { return false };
        let restarts = state.restarts_within(self.now, self.settings.unsteady_ms);
        restarts >= self.settings.unsteady_restarts
    }

    /// Removes up to `count` VMs from the free ones, unsteady VMs last.
    pub(crate) fn take_free(&mut self, count: usize) -> Vec<VmName> {
        let (steady, unsteady): (Vec<VmName>, Vec<VmName>) =
            self.free.iter().cloned().partition(|vm| !self.is_unsteady(vm));
        let taken: Vec<VmName> = steady.into_iter().chain(unsteady).take(count).collect();
        self.free.retain(|vm| !taken.contains(vm));
        taken
    }

    /// Whether fresh reports of all members agree on this formation.
    pub(crate) fn is_whole(&self, replica: &Replica) -> bool {
        let life_ms = self.settings.report_life_ms;
        let mut agreement =
            Agreement::new(replica.name.clone(), replica.generation, replica.vms.clone(), life_ms);
        let states = replica.vms.iter().filter_map(|vm| self.view.vms.get(vm));
        for timed in states.filter_map(|state| state.fresh_report(self.now, life_ms)) {
            agreement.apply_report(timed.polled_at, &timed.report);
        }
        agreement.evaluate(self.now).is_whole()
    }

    pub(crate) fn member_state(&self, replica: &Replica, vm: &VmName) -> MemberState {
        if self.is_lost(vm) {
            return MemberState::Lost;
        }
        let life_ms = self.settings.report_life_ms;
        let state = self.view.vms.get(vm);
        let Some(timed) = state.and_then(|state| state.fresh_report(self.now, life_ms)) else {
            return MemberState::NotReporting;
        };
        let formation = timed.report.formation.as_ref();
        let formation = formation.filter(|formation| {
            formation.replica == replica.name && formation.generation == replica.generation
        });
        match (formation, replica.phase) {
            (Some(formation), _) if self.has_boot_mismatch(replica, &formation.member_boots) => {
                MemberState::Disagrees
            }
            (Some(formation), _) if formation.ready => MemberState::Agrees,
            // It had joined with all members and has lost one since; members don't rejoin.
            (Some(formation), _) if formation.member_boots.len() == replica.vms.len() => {
                MemberState::Disagrees
            }
            (_, ReplicaPhase::Forming) => MemberState::Joining,
            _ => MemberState::Disagrees,
        }
    }

    /// Whether a member's latest report has another boot than the formation was joined with.
    fn has_boot_mismatch(&self, replica: &Replica, joined_boots: &[Boot]) -> bool {
        let life_ms = self.settings.report_life_ms;
        joined_boots.len() == replica.vms.len()
            && replica.vms.iter().zip(joined_boots).any(|(vm, boot)| {
                let state = self.view.vms.get(vm);
                let timed = state.and_then(|state| state.fresh_report(self.now, life_ms));
                timed.is_some_and(|timed| timed.report.boot != *boot)
            })
    }
}

/// State of deployments.
impl Draft<'_> {
    pub(crate) fn wanted(&self, deployment: &DeploymentName) -> Option<&WantedDeployment> {
        self.view.wanted.iter().find(|wanted| wanted.deployment.name == *deployment)
    }

    /// Returns the wanted deployments by descending priority, then by name.
    pub(crate) fn wanted_by_priority(&self) -> Vec<WantedDeployment> {
        let mut wanted = self.view.wanted.to_vec();
        wanted.sort_by(|a, b| {
            let by_priority = b.deployment.priority.cmp(&a.deployment.priority);
            by_priority.then_with(|| a.deployment.name.cmp(&b.deployment.name))
        });
        wanted
    }

    pub(crate) fn priority(&self, replica: &Replica) -> Priority {
        let wanted = self.wanted(&replica.deployment);
        wanted.map(|wanted| wanted.deployment.priority).unwrap_or_default()
    }

    /// Returns the indices of all replicas by descending priority, then by name.
    pub(crate) fn by_priority(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.next.replicas.len()).collect();
        order.sort_by_key(|i| {
            let replica = &self.next.replicas[*i];
            (std::cmp::Reverse(self.priority(replica)), replica.name.clone())
        });
        order
    }

    /// Returns the number of replicas of a deployment that are not draining.
    pub(crate) fn active(&self, deployment: &DeploymentName) -> usize {
        let matching =
            self.next.replicas.iter().filter(|replica| replica.deployment == *deployment);
        matching.filter(|replica| replica.phase != ReplicaPhase::Draining).count()
    }

    pub(crate) fn forming(&self) -> usize {
        self.next.replicas.iter().filter(|r| r.phase == ReplicaPhase::Forming).count()
    }

    /// Whether VMs will soon be free: a replica is draining, or a VM that is not lost is being
    /// released.
    pub(crate) fn is_freeing_vms(&self) -> bool {
        let mut replicas = self.next.replicas.iter();
        replicas.any(|replica| replica.phase == ReplicaPhase::Draining)
            || self.next.releasing.iter().any(|releasing| !self.is_lost(&releasing.vm))
    }

    /// Whether another replica may start forming.
    pub(crate) fn may_form(&self) -> bool {
        self.forming() < self.settings.forming_at_once as usize
    }

    /// Whether a replica differs from its deployment in version, model or number of VMs, or has none.
    pub(crate) fn is_outdated(&self, replica: &Replica) -> bool {
        self.wanted(&replica.deployment).is_none_or(|wanted| {
            let deployment = &wanted.deployment;
            replica.version != deployment.version
                || replica.model != deployment.model
                || replica.vms.len() != deployment.vms_per_replica as usize
        })
    }
}

/// Changes.
impl Draft<'_> {
    /// Starts a new formation of a replica, with spares in place of the `replaced` members.
    ///
    /// Returns false and changes nothing if there are too few spares.
    pub(crate) fn restart_formation(&mut self, index: usize, replaced: &[VmName]) -> bool {
        if self.free.len() < replaced.len() {
            return false;
        }
        let spares = self.take_free(replaced.len());
        let wanted = self.wanted(&self.next.replicas[index].deployment).cloned();
        let replica = &mut self.next.replicas[index];
        replica.generation = replica.generation.next();
        replica.phase = ReplicaPhase::Forming;
        if let Some(wanted) = wanted {
            replica.version = wanted.deployment.version;
            replica.model = wanted.deployment.model;
        }
        for (vm, spare) in replaced.iter().zip(spares) {
            let slot = replica.vms.iter_mut().find(|member| *member == vm);
            if let Some(slot) = slot {
                *slot = spare;
            }
            let replica = replica.name.clone();
            self.next.releasing.push(ReleasingVm { vm: vm.clone(), replica });
        }
        true
    }

    /// Removes a replica from the placement and releases its VMs.
    pub(crate) fn dissolve(&mut self, index: usize) {
        let replica = self.next.replicas.remove(index);
        let releasing = replica.vms.into_iter();
        let releasing = releasing.map(|vm| ReleasingVm { vm, replica: replica.name.clone() });
        self.next.releasing.extend(releasing);
    }
}
