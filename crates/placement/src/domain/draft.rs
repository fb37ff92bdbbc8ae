use std::collections::BTreeSet;

use celeryhaven_derives::state;
use celeryhaven_types::{
    Boot, DeploymentName, DomainPlacement, Priority, Releasing, Replica, ReplicaPhase, TimeMs,
    VmName,
};
use celeryhaven_wholeness::Agreement;

use crate::domain::{
    DomainView, Memory, PlacementSettings, VmAvailability, VmState, WantedDeployment,
};

state! {
    /// How one member stands to its replica.
    #[derive(Copy, Eq)]
    pub(crate) enum MemberState {
        /// Its fresh report names this formation and it is ready.
        Agrees,
        /// It has not joined this formation yet.
        Joining,
        /// It contradicts: restarted, or the members met other boots.
        Contradicts,
        /// The VM list has dropped it, or it has been silent for too long.
        Lost,
        /// Not heard just now, but not for long.
        Unheard,
    }
}

/// The next placement of a domain while it is being worked out.
#[derive(Debug)]
pub(crate) struct Draft<'a> {
    pub(crate) now: TimeMs,
    pub(crate) settings: PlacementSettings,
    pub(crate) view: DomainView<'a>,
    pub(crate) memory: &'a mut Memory,
    pub(crate) next: DomainPlacement,
    /// VMs that can be given to a replica now, by name.
    pub(crate) free: BTreeSet<VmName>,
    silence_counts: bool,
}

/// Construction.
impl<'a> Draft<'a> {
    pub(crate) fn new(
        now: TimeMs,
        settings: PlacementSettings,
        view: DomainView<'a>,
        memory: &'a mut Memory,
    ) -> Self {
        let next = view.placement.clone();
        let mut draft =
            Self { now, settings, view, memory, next, free: BTreeSet::new(), silence_counts: true };
        let heard_most_ms = draft.memory.heard_most_ms(now, draft.hears_most());
        draft.silence_counts = heard_most_ms >= settings.silent_ms;
        draft
    }

    /// Whether this holder hears at least half of the domain's VMs.
    ///
    /// A controller that is cut off hears nobody. If it took the silence for the members' death, it
    /// would stop replicas that serve well, as soon as a single order got through. One member among
    /// several that falls silent is its own fault; most of them at once are the observer's, or the
    /// whole domain's, and then there are no spares to mend with either. When they are heard again,
    /// they are not all heard at once: a member is lost only when most have been heard for as long
    /// as it has been silent.
    fn hears_most(&self) -> bool {
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
                && report.is_some_and(|seen| seen.report.formation.is_none())
        };
        let usable = self.view.vms.iter().filter(|(_, vm)| is_usable(vm));
        usable.map(|(name, _)| name.clone()).filter(|name| !self.is_placed(name)).collect()
    }

    fn is_placed(&self, vm: &VmName) -> bool {
        self.next.replicas.iter().any(|replica| replica.vms.contains(vm))
            || self.next.releasing.iter().any(|releasing| releasing.vm == *vm)
    }
}

/// What is known of members.
impl Draft<'_> {
    pub(crate) fn is_silent(&self, vm: &VmState) -> bool {
        self.now.since(vm.last_contact) >= self.settings.silent_ms
    }

    pub(crate) fn is_lost(&self, vm: &VmName) -> bool {
        match self.view.vms.get(vm) {
            Some(state) if state.listed => self.silence_counts && self.is_silent(state),
            _ => true,
        }
    }

    /// Whether a VM restarts so often that a replica had better do without it.
    pub(crate) fn is_unsteady(&self, vm: &VmName) -> bool {
        let Some(state) = self.view.vms.get(vm) else { return false };
        let restarts = state.restarts_within(self.now, self.settings.unsteady_ms);
        restarts >= self.settings.unsteady_restarts
    }

    /// Takes VMs out of the free ones, those that restart often last.
    pub(crate) fn take_free(&mut self, count: usize) -> Vec<VmName> {
        let (steady, unsteady): (Vec<VmName>, Vec<VmName>) =
            self.free.iter().cloned().partition(|vm| !self.is_unsteady(vm));
        let taken: Vec<VmName> = steady.into_iter().chain(unsteady).take(count).collect();
        self.free.retain(|vm| !taken.contains(vm));
        taken
    }

    /// Whether every member's fresh report agrees on this formation.
    pub(crate) fn is_whole(&self, replica: &Replica) -> bool {
        let life_ms = self.settings.report_life_ms;
        let mut agreement =
            Agreement::new(replica.name.clone(), replica.generation, replica.vms.clone(), life_ms);
        let states = replica.vms.iter().filter_map(|vm| self.view.vms.get(vm));
        for seen in states.filter_map(|state| state.fresh_report(self.now, life_ms)) {
            agreement.report(seen.polled_at, &seen.report);
        }
        agreement.judge(self.now).is_whole()
    }

    pub(crate) fn member_state(&self, replica: &Replica, vm: &VmName) -> MemberState {
        if self.is_lost(vm) {
            return MemberState::Lost;
        }
        let life_ms = self.settings.report_life_ms;
        let state = self.view.vms.get(vm);
        let Some(seen) = state.and_then(|state| state.fresh_report(self.now, life_ms)) else {
            return MemberState::Unheard;
        };
        let formation = seen.report.formation.as_ref();
        let formation = formation.filter(|formation| {
            formation.replica == replica.name && formation.generation == replica.generation
        });
        match (formation, replica.phase) {
            (Some(formation), _) if self.met_other_boots(replica, &formation.member_boots) => {
                MemberState::Contradicts
            }
            (Some(formation), _) if formation.ready => MemberState::Agrees,
            // It had met all members and lost one since; only a new formation mends that.
            (Some(formation), _) if formation.member_boots.len() == replica.vms.len() => {
                MemberState::Contradicts
            }
            (_, ReplicaPhase::Forming) => MemberState::Joining,
            _ => MemberState::Contradicts,
        }
    }

    /// Whether a member joined with another start of a member than the one that reports now.
    fn met_other_boots(&self, replica: &Replica, met: &[Boot]) -> bool {
        let life_ms = self.settings.report_life_ms;
        met.len() == replica.vms.len()
            && replica.vms.iter().zip(met).any(|(vm, boot)| {
                let state = self.view.vms.get(vm);
                let seen = state.and_then(|state| state.fresh_report(self.now, life_ms));
                seen.is_some_and(|seen| seen.report.boot != *boot)
            })
    }
}

/// What is known of deployments.
impl Draft<'_> {
    pub(crate) fn wanted(&self, deployment: &DeploymentName) -> Option<&WantedDeployment> {
        self.view.wanted.iter().find(|wanted| wanted.deployment.name == *deployment)
    }

    /// Deployments by priority, the highest first, then by name.
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

    /// Positions of all replicas, those of the highest priority first.
    pub(crate) fn by_priority(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.next.replicas.len()).collect();
        order.sort_by_key(|i| {
            let replica = &self.next.replicas[*i];
            (std::cmp::Reverse(self.priority(replica)), replica.name.clone())
        });
        order
    }

    /// Replicas of a deployment that are not draining.
    pub(crate) fn active(&self, deployment: &DeploymentName) -> usize {
        let of = self.next.replicas.iter().filter(|replica| replica.deployment == *deployment);
        of.filter(|replica| replica.phase != ReplicaPhase::Draining).count()
    }

    pub(crate) fn forming(&self) -> usize {
        self.next.replicas.iter().filter(|r| r.phase == ReplicaPhase::Forming).count()
    }

    /// Whether VMs will be free soon: a replica drains, or a VM that answers is being released.
    pub(crate) fn is_emptying(&self) -> bool {
        let mut replicas = self.next.replicas.iter();
        replicas.any(|replica| replica.phase == ReplicaPhase::Draining)
            || self.next.releasing.iter().any(|releasing| !self.is_lost(&releasing.vm))
    }

    /// Whether another replica may begin to load now.
    pub(crate) fn may_form(&self) -> bool {
        self.forming() < self.settings.forming_at_once as usize
    }

    /// Whether a replica is not what its deployment asks for.
    pub(crate) fn is_stale(&self, replica: &Replica) -> bool {
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
    /// Begins a new formation of a replica, with spares in the place of `gone`.
    ///
    /// Returns false and changes nothing if there are too few spares.
    pub(crate) fn form_again(&mut self, at: usize, gone: &[VmName]) -> bool {
        if self.free.len() < gone.len() {
            return false;
        }
        let spares = self.take_free(gone.len());
        let wanted = self.wanted(&self.next.replicas[at].deployment).cloned();
        let replica = &mut self.next.replicas[at];
        replica.generation = replica.generation.next();
        replica.phase = ReplicaPhase::Forming;
        if let Some(wanted) = wanted {
            replica.version = wanted.deployment.version;
            replica.model = wanted.deployment.model;
        }
        for (vm, spare) in gone.iter().zip(spares) {
            let slot = replica.vms.iter_mut().find(|member| *member == vm);
            if let Some(slot) = slot {
                *slot = spare;
            }
            let replica = replica.name.clone();
            self.next.releasing.push(Releasing { vm: vm.clone(), replica });
        }
        true
    }

    /// Takes a replica out of the placement; its VMs are released.
    pub(crate) fn dissolve(&mut self, at: usize) {
        let replica = self.next.replicas.remove(at);
        let releasing = replica.vms.into_iter();
        let releasing = releasing.map(|vm| Releasing { vm, replica: replica.name.clone() });
        self.next.releasing.extend(releasing);
    }
}
