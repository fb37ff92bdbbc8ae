use celeryhaven_types::{DeploymentName, Replica, ReplicaName, ReplicaPhase, VmName};

use crate::domain::forming::members_in_state;
use crate::domain::{Draft, MemberState, VmAvailability, WantedDeployment};

impl Draft<'_> {
    /// Forms again or dissolves replicas that have finished draining.
    pub(crate) fn finish_draining(&mut self) {
        for name in self.names_in_phase(ReplicaPhase::Draining) {
            let Some(index) = self.next.replicas.iter().position(|r| r.name == name) else {
                continue;
            };
            if self.is_drained(index) {
                self.reform_or_dissolve(index);
            }
        }
    }

    /// Whether a draining replica has finished its requests and gets no more.
    ///
    /// Load reports lag, so a request may be running that they don't show yet. The load of every
    /// member must therefore be zero and measured after all entries knew of the draining.
    fn is_drained(&self, index: usize) -> bool {
        let replica = &self.next.replicas[index];
        let key = (replica.name.clone(), replica.generation);
        let since = self.planner_state.draining_since.get(&key).copied().unwrap_or(self.now);
        if self.now.since(since) >= self.settings.drain_max_ms {
            return true;
        }
        let states = self.member_states(index);
        let has_failed = |state| matches!(state, MemberState::Lost | MemberState::Disagrees);
        if states.iter().any(|(_, state)| has_failed(*state)) {
            return true;
        }
        let entries_informed_at = since.after(self.settings.drain_settle_ms);
        replica.vms.iter().all(|vm| {
            let state = self.view.vms.get(vm);
            let timed = state.and_then(|s| s.fresh_report(self.now, self.settings.report_life_ms));
            timed.is_some_and(|timed| {
                let load_age_ms = timed.report.load_age_ms;
                timed.polled_at >= entries_informed_at.after(load_age_ms)
                    && timed.report.running == 0
                    && timed.report.waiting == 0
            })
        })
    }

    /// Forms a drained replica again if it is still wanted and there are VMs, otherwise dissolves it.
    fn reform_or_dissolve(&mut self, index: usize) {
        let replica = &self.next.replicas[index];
        let wanted = self.wanted(&replica.deployment);
        let is_wanted = wanted.is_some_and(|wanted| {
            self.active(&replica.deployment) < wanted.replicas as usize
                && !self.has_shortage_above(wanted.deployment.priority)
                && replica.vms.len() == wanted.deployment.vms_per_replica as usize
        });
        let replaced: Vec<VmName> =
            replica.vms.iter().filter(|vm| !self.can_keep(vm)).cloned().collect();
        if !(is_wanted && self.may_form() && self.restart_formation(index, &replaced)) {
            self.dissolve(index);
        }
    }

    fn can_keep(&self, vm: &VmName) -> bool {
        let state = self.view.vms.get(vm);
        !self.is_lost(vm)
            && state.is_some_and(|state| state.availability == VmAvailability::Available)
    }

    /// Starts draining replicas that must stop.
    pub(crate) fn start_draining(&mut self) {
        self.drain_leaving();
        self.drain_unwanted();
        for wanted in self.wanted_by_priority() {
            self.drain_excess(&wanted);
            self.drain_outdated(&wanted);
        }
    }

    /// Drains replicas on VMs that are leaving or drained.
    ///
    /// Those on leaving VMs are drained at once, since the platform will stop the VMs anyway. VMs
    /// that operators drain wait for one another, so that a deployment loses one replica at a time.
    fn drain_leaving(&mut self) {
        for name in self.names_in_phase(ReplicaPhase::Serving) {
            let Some(index) = self.next.replicas.iter().position(|r| r.name == name) else {
                continue;
            };
            let replica = &self.next.replicas[index];
            let has = |availability| {
                let states = replica.vms.iter().filter_map(|vm| self.view.vms.get(vm));
                states.into_iter().any(|state| state.availability == availability)
            };
            let may_drain = has(VmAvailability::Drained) && !self.is_changing(&replica.deployment);
            if has(VmAvailability::Leaving) || may_drain {
                self.drain(index);
            }
        }
        self.reform_without_leaving();
    }

    /// Restarts formations that include a VM which cannot stay, with spares, or dissolves them.
    fn reform_without_leaving(&mut self) {
        for name in self.names_in_phase(ReplicaPhase::Forming) {
            let Some(index) = self.next.replicas.iter().position(|r| r.name == name) else {
                continue;
            };
            let states = self.member_states(index);
            let lost = members_in_state(&states, MemberState::Lost);
            let replica = &self.next.replicas[index];
            let is_leaving = |vm: &&VmName| !self.can_keep(vm) && !lost.contains(vm);
            let replaced: Vec<VmName> = replica.vms.iter().filter(is_leaving).cloned().collect();
            if !replaced.is_empty() && !self.restart_formation(index, &replaced) {
                self.dissolve(index);
            }
        }
    }

    fn drain_unwanted(&mut self) {
        for index in (0..self.next.replicas.len()).rev() {
            if self.wanted(&self.next.replicas[index].deployment).is_none() {
                self.stop(index);
            }
        }
    }

    /// Stops replicas above the wanted number: those that are not whole first, then outdated ones,
    /// then the last by name.
    fn drain_excess(&mut self, wanted: &WantedDeployment) {
        let name = &wanted.deployment.name;
        let successor_forms = self.next.replicas.iter().any(|replica| {
            replica.deployment == *name
                && replica.phase == ReplicaPhase::Forming
                && !self.is_outdated(replica)
        }) && self.has_outdated(name);
        // One more than wanted while a successor forms, so that nothing stops before it serves.
        let allowed = wanted.replicas as usize + usize::from(successor_forms);
        while self.active(name) > allowed {
            let candidates = self.next.replicas.iter().enumerate().filter(|(_, replica)| {
                replica.deployment == *name && replica.phase != ReplicaPhase::Draining
            });
            let worst = candidates.max_by_key(|(_, replica)| {
                let is_outdated = self.is_outdated(replica);
                (!self.is_whole(replica), is_outdated, replica.name.clone())
            });
            let Some((index, _)) = worst else { return };
            self.stop(index);
        }
    }

    /// Drains one outdated replica at a time if there are no VMs for a successor, now or soon.
    fn drain_outdated(&mut self, wanted: &WantedDeployment) {
        let name = &wanted.deployment.name;
        let has_free_vms = self.free.len() >= wanted.deployment.vms_per_replica as usize;
        if has_free_vms || self.is_freeing_vms() || self.is_changing(name) {
            return;
        }
        let outdated = self.next.replicas.iter().position(|replica| {
            replica.deployment == *name
                && replica.phase == ReplicaPhase::Serving
                && self.is_outdated(replica)
        });
        if let Some(index) = outdated {
            self.drain(index);
        }
    }

    /// Whether a replica of the deployment is forming, draining or not whole.
    ///
    /// Changes wait for this, so that a rolling update never interrupts two replicas at a time.
    fn is_changing(&self, deployment: &DeploymentName) -> bool {
        let matching =
            self.next.replicas.iter().filter(|replica| replica.deployment == *deployment);
        matching.into_iter().any(|r| r.phase != ReplicaPhase::Serving || !self.is_whole(r))
    }

    fn has_outdated(&self, deployment: &DeploymentName) -> bool {
        let matching =
            self.next.replicas.iter().filter(|replica| replica.deployment == *deployment);
        matching.into_iter().any(|r| r.phase != ReplicaPhase::Draining && self.is_outdated(r))
    }

    /// Drains a serving replica or dissolves a forming one.
    pub(crate) fn stop(&mut self, index: usize) {
        match self.next.replicas[index].phase {
            ReplicaPhase::Forming => self.dissolve(index),
            ReplicaPhase::Serving => self.drain(index),
            ReplicaPhase::Draining => {}
        }
    }

    pub(crate) fn drain(&mut self, index: usize) {
        self.next.replicas[index].phase = ReplicaPhase::Draining;
    }

    fn names_in_phase(&self, phase: ReplicaPhase) -> Vec<ReplicaName> {
        let matching =
            self.next.replicas.iter().filter(|replica: &&Replica| replica.phase == phase);
        matching.map(|replica| replica.name.clone()).collect()
    }
}
