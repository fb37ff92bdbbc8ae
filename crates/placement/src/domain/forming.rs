use celeryhaven_types::{Generation, Replica, ReplicaName, ReplicaPhase, VmName};

use crate::domain::memory::Progress;
use crate::domain::{Draft, MemberState, VmState, WantedDeployment};

impl Draft<'_> {
    /// Lets whole formations serve, and begins those anew that cannot become whole.
    pub(crate) fn settle_forming(&mut self) {
        for at in self.by_priority() {
            if self.next.replicas[at].phase != ReplicaPhase::Forming {
                continue;
            }
            if self.is_whole(&self.next.replicas[at]) {
                self.next.replicas[at].phase = ReplicaPhase::Serving;
                continue;
            }
            let states = self.member_states(at);
            let lost = in_state(&states, MemberState::Lost);
            let contradicts = self.contradicts(&states);
            if !lost.is_empty() || contradicts || self.is_stuck(at) {
                self.form_again(at, &lost);
            }
        }
    }

    pub(crate) fn member_states(&self, at: usize) -> Vec<(VmName, MemberState)> {
        let replica = &self.next.replicas[at];
        let members = replica.vms.iter();
        members.map(|vm| (vm.clone(), self.member_state(replica, vm))).collect()
    }

    /// Whether a new formation is due because members contradict.
    ///
    /// The others of a replica notice a dead member at once, and say so before this holder has
    /// polled it in vain. Until every member has been tried since the first contradiction, it is
    /// not known whether one has to be replaced, and the formation would be begun twice.
    pub(crate) fn contradicts(&self, states: &[(VmName, MemberState)]) -> bool {
        let vm_state = |vm: &VmName| self.view.vms.get(vm);
        let contradicting = states.iter().filter(|(_, state)| *state == MemberState::Contradicts);
        let first = contradicting
            .filter_map(|(vm, _)| Some(vm_state(vm)?.report.as_ref()?.polled_at))
            .min();
        first.is_some_and(|first| {
            states.iter().all(|(vm, state)| {
                let last_completed_poll = vm_state(vm).and_then(VmState::last_completed_poll);
                *state != MemberState::Unheard
                    && last_completed_poll.is_some_and(|tried| tried >= first)
            })
        })
    }

    /// Whether no member has loaded anything for too long.
    ///
    /// A member may have taken an order and never begun, or wait for one that joined an earlier
    /// formation; nothing in its report would ever change.
    fn is_stuck(&mut self, at: usize) -> bool {
        let replica = &self.next.replicas[at];
        let key: (ReplicaName, Generation) = (replica.name.clone(), replica.generation);
        let loaded_bytes = self.loaded_bytes(replica);
        let begun = Progress { loaded_bytes, since: self.now };
        let progress = self.memory.progress.entry(key).or_insert(begun);
        if progress.loaded_bytes != loaded_bytes {
            *progress = begun;
        }
        self.now.since(progress.since) >= self.settings.forming_stuck_ms
    }

    fn loaded_bytes(&self, replica: &Replica) -> u64 {
        let states = replica.vms.iter().filter_map(|vm| self.view.vms.get(vm));
        let reports = states.filter_map(|state| state.report.as_ref());
        reports.map(|seen| seen.report.weights_loaded_bytes).sum()
    }

    /// Forms replicas that are wanted and missing, those of the highest priority first.
    ///
    /// A replica that must be replaced (another version or shape) gets its successor first if
    /// there are VMs for one more: then the change costs no downtime.
    pub(crate) fn form_missing(&mut self) {
        for wanted in self.wanted_by_priority() {
            let of = &wanted.deployment.name;
            let replaced = self.next.replicas.iter().any(|replica| {
                replica.deployment == *of
                    && replica.phase != ReplicaPhase::Draining
                    && self.is_stale(replica)
            });
            let target = wanted.replicas as usize + usize::from(replaced);
            let needed = wanted.deployment.vms_per_replica as usize;
            while self.active(of) < target && needed <= self.free.len() && self.may_form() {
                self.form(&wanted);
            }
            // VMs are being emptied for this deployment: if one of lower priority took those that
            // are free by now, they would have to be emptied again.
            if self.active(of) < wanted.replicas as usize && self.is_emptying() {
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

/// The members that stand so.
pub(crate) fn in_state(states: &[(VmName, MemberState)], state: MemberState) -> Vec<VmName> {
    states.iter().filter(|(_, other)| *other == state).map(|(vm, _)| vm.clone()).collect()
}
