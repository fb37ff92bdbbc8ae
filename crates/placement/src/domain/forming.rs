use celeryhaven_types::{Generation, Replica, ReplicaName, ReplicaPhase, VmName};

use crate::domain::planner_state::Progress;
use crate::domain::{Draft, MemberState, VmState, WantedDeployment};

impl Draft<'_> {
    /// Marks whole formations as serving, and restarts those that cannot become whole.
    pub(crate) fn advance_forming(&mut self) {
        for index in self.by_priority() {
            if self.next.replicas[index].phase != ReplicaPhase::Forming {
                continue;
            }
            if self.is_whole(&self.next.replicas[index]) {
                self.next.replicas[index].phase = ReplicaPhase::Serving;
                continue;
            }
            let states = self.member_states(index);
            let lost = members_in_state(&states, MemberState::Lost);
            let disagrees = self.disagreement_confirmed(&states);
            if !lost.is_empty() || disagrees || self.is_stalled(index) {
                self.restart_formation(index, &lost);
            }
        }
    }

    pub(crate) fn member_states(&self, index: usize) -> Vec<(VmName, MemberState)> {
        let replica = &self.next.replicas[index];
        let members = replica.vms.iter();
        members.map(|vm| (vm.clone(), self.member_state(replica, vm))).collect()
    }

    /// Whether members disagree and all members have been polled since.
    ///
    /// Members notice the loss of another before its poll fails here. A formation restarted before
    /// every member has been polled would include the lost member, and be restarted once more.
    pub(crate) fn disagreement_confirmed(&self, states: &[(VmName, MemberState)]) -> bool {
        let vm_state = |vm: &VmName| self.view.vms.get(vm);
        let disagreeing = states.iter().filter(|(_, state)| *state == MemberState::Disagrees);
        let first =
            disagreeing.filter_map(|(vm, _)| Some(vm_state(vm)?.report.as_ref()?.polled_at)).min();
        first.is_some_and(|first| {
            states.iter().all(|(vm, state)| {
                let last_completed_poll = vm_state(vm).and_then(VmState::last_completed_poll);
                *state != MemberState::NotReporting
                    && last_completed_poll.is_some_and(|tried| tried >= first)
            })
        })
    }

    /// Whether no member has loaded anything for `forming_stuck_ms`.
    ///
    /// A member may have accepted an order without starting it, or wait for one that joined an
    /// earlier formation. Neither ends by itself.
    fn is_stalled(&mut self, index: usize) -> bool {
        let replica = &self.next.replicas[index];
        let key: (ReplicaName, Generation) = (replica.name.clone(), replica.generation);
        let loaded_bytes = self.loaded_bytes(replica);
        let initial = Progress { loaded_bytes, since: self.now };
        let progress = self.planner_state.progress.entry(key).or_insert(initial);
        if progress.loaded_bytes != loaded_bytes {
            *progress = initial;
        }
        self.now.since(progress.since) >= self.settings.forming_stuck_ms
    }

    fn loaded_bytes(&self, replica: &Replica) -> u64 {
        let states = replica.vms.iter().filter_map(|vm| self.view.vms.get(vm));
        let reports = states.filter_map(|state| state.report.as_ref());
        reports.map(|timed| timed.report.weights_loaded_bytes).sum()
    }

    /// Forms missing replicas, highest priority first.
    ///
    /// If there are VMs for one more replica, the successor of an outdated one forms before that
    /// stops, and the change costs no downtime.
    pub(crate) fn form_missing(&mut self) {
        for wanted in self.wanted_by_priority() {
            let name = &wanted.deployment.name;
            let replaced = self.next.replicas.iter().any(|replica| {
                replica.deployment == *name
                    && replica.phase != ReplicaPhase::Draining
                    && self.is_outdated(replica)
            });
            let target = wanted.replicas as usize + usize::from(replaced);
            let needed = wanted.deployment.vms_per_replica as usize;
            while self.active(name) < target && needed <= self.free.len() && self.may_form() {
                self.form(&wanted);
            }
            // VMs are being freed for this deployment. Deployments of lower priority must not take
            // those that are free already.
            if self.active(name) < wanted.replicas as usize && self.is_freeing_vms() {
                return;
            }
        }
    }

    fn form(&mut self, wanted: &WantedDeployment) {
        let deployment = &wanted.deployment;
        let needed = deployment.vms_per_replica as usize;
        let vms = self.take_free(needed);
        let number = self.next.next_replica;
        self.next.next_replica += 1;
        self.next.replicas.push(Replica {
            name: ReplicaName::new(format!("{}-{}-{number}", deployment.name, self.next.domain)),
            deployment: deployment.name.clone(),
            model: deployment.model.clone(),
            version: deployment.version.clone(),
            generation: Generation::new(1),
            vms,
            phase: ReplicaPhase::Forming,
        });
    }
}

/// Returns the members in the given state.
pub(crate) fn members_in_state(
    states: &[(VmName, MemberState)],
    state: MemberState,
) -> Vec<VmName> {
    states.iter().filter(|(_, other)| *other == state).map(|(vm, _)| vm.clone()).collect()
}
