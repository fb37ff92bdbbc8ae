use celeryhaven_types::{DeploymentName, Replica, ReplicaName, ReplicaPhase, VmName};

use crate::domain::forming::in_state;
use crate::domain::{Draft, MemberState, VmAvailability, WantedDeployment};

impl Draft<'_> {
    /// Ends the draining of replicas that have finished their requests.
    pub(crate) fn finish_draining(&mut self) {
        for name in self.names_in(ReplicaPhase::Draining) {
            let Some(at) = self.next.replicas.iter().position(|r| r.name == name) else { continue };
            if self.is_empty(at) {
                self.replace_or_dissolve(at);
            }
        }
    }

    /// Whether a draining replica runs nothing and will be sent nothing.
    ///
    /// Guards against cutting off a request: one that an entry sent before it knew of the draining
    /// shows in no load figure yet, since those lag. So the figures of every member must have been
    /// taken after all entries know, and be zero.
    fn is_empty(&self, at: usize) -> bool {
        let replica = &self.next.replicas[at];
        let key = (replica.name.clone(), replica.generation);
        let since = self.memory.draining_since.get(&key).copied().unwrap_or(self.now);
        if self.now.since(since) >= self.settings.drain_max_ms {
            return true;
        }
        let states = self.member_states(at);
        let is_dead = |state| matches!(state, MemberState::Lost | MemberState::Contradicts);
        if states.iter().any(|(_, state)| is_dead(*state)) {
            return true;
        }
        let settled_at = since.after(self.settings.drain_settle_ms);
        replica.vms.iter().all(|vm| {
            let state = self.view.vms.get(vm);
            let seen = state.and_then(|s| s.fresh_report(self.now, self.settings.report_life_ms));
            seen.is_some_and(|seen| {
                let load_age_ms = seen.report.load_age_ms;
                seen.polled_at >= settled_at.after(load_age_ms)
                    && seen.report.running == 0
                    && seen.report.waiting == 0
            })
        })
    }

    /// Forms an emptied replica anew if it is still wanted and there are VMs, else takes it out.
    fn replace_or_dissolve(&mut self, at: usize) {
        let replica = &self.next.replicas[at];
        let wanted = self.wanted(&replica.deployment);
        let is_wanted = wanted.is_some_and(|wanted| {
            self.active(&replica.deployment) < wanted.replicas as usize
                && !self.is_short_above(wanted.deployment.priority)
                && replica.vms.len() == wanted.deployment.vms_per_replica as usize
        });
        let gone: Vec<VmName> =
            replica.vms.iter().filter(|vm| !self.is_kept(vm)).cloned().collect();
        if !(is_wanted && self.may_form() && self.form_again(at, &gone)) {
            self.dissolve(at);
        }
    }

    fn is_kept(&self, vm: &VmName) -> bool {
        let state = self.view.vms.get(vm);
        !self.is_lost(vm)
            && state.is_some_and(|state| state.availability == VmAvailability::Available)
    }

    /// Begins to drain replicas that have to stop.
    pub(crate) fn start_draining(&mut self) {
        self.drain_leaving();
        self.drain_unwanted();
        for wanted in self.wanted_by_priority() {
            self.drain_excess(&wanted);
            self.drain_replaced(&wanted);
        }
    }

    /// A VM that the platform takes away is emptied at once, however many there are: waiting would
    /// only have its requests cut off. VMs that operators empty can wait for one another, so that a
    /// deployment never loses more than one replica to it.
    fn drain_leaving(&mut self) {
        for name in self.names_in(ReplicaPhase::Serving) {
            let Some(at) = self.next.replicas.iter().position(|r| r.name == name) else { continue };
            let replica = &self.next.replicas[at];
            let has = |availability| {
                let states = replica.vms.iter().filter_map(|vm| self.view.vms.get(vm));
                states.into_iter().any(|state| state.availability == availability)
            };
            let in_turn = has(VmAvailability::Drained) && !self.is_changing(&replica.deployment);
            if has(VmAvailability::Leaving) || in_turn {
                self.drain(at);
            }
        }
        self.drop_forming_on_leaving();
    }

    /// A formation that counts on a VM that leaves never serves for long: it is begun anew with a
    /// spare, or taken out.
    fn drop_forming_on_leaving(&mut self) {
        for name in self.names_in(ReplicaPhase::Forming) {
            let Some(at) = self.next.replicas.iter().position(|r| r.name == name) else { continue };
            let states = self.member_states(at);
            let lost = in_state(&states, MemberState::Lost);
            let replica = &self.next.replicas[at];
            let leaves = |vm: &&VmName| !self.is_kept(vm) && !lost.contains(vm);
            let gone: Vec<VmName> = replica.vms.iter().filter(leaves).cloned().collect();
            if !gone.is_empty() && !self.form_again(at, &gone) {
                self.dissolve(at);
            }
        }
    }

    fn drain_unwanted(&mut self) {
        for at in (0..self.next.replicas.len()).rev() {
            if self.wanted(&self.next.replicas[at].deployment).is_none() {
                self.stop(at);
            }
        }
    }

    /// Stops replicas above the wanted number: those that don't serve first, then those of another
    /// version, then the youngest.
    fn drain_excess(&mut self, wanted: &WantedDeployment) {
        let of = &wanted.deployment.name;
        let successor_forms = self.next.replicas.iter().any(|replica| {
            replica.deployment == *of
                && replica.phase == ReplicaPhase::Forming
                && !self.is_stale(replica)
        }) && self.has_stale(of);
        // One more than wanted while a successor forms: it takes over before anything stops.
        let allowed = wanted.replicas as usize + usize::from(successor_forms);
        while self.active(of) > allowed {
            let candidates = self.next.replicas.iter().enumerate().filter(|(_, replica)| {
                replica.deployment == *of && replica.phase != ReplicaPhase::Draining
            });
            let worst = candidates.max_by_key(|(_, replica)| {
                let is_stale = self.is_stale(replica);
                (!self.is_whole(replica), is_stale, replica.name.clone())
            });
            let Some((at, _)) = worst else { return };
            self.stop(at);
        }
    }

    /// Without room for a successor, now or soon, drains one replica of another version or shape at a
    /// time.
    fn drain_replaced(&mut self, wanted: &WantedDeployment) {
        let of = &wanted.deployment.name;
        let has_room = self.free.len() >= wanted.deployment.vms_per_replica as usize;
        if has_room || self.is_emptying() || self.is_changing(of) {
            return;
        }
        let stale = self.next.replicas.iter().position(|replica| {
            replica.deployment == *of
                && replica.phase == ReplicaPhase::Serving
                && self.is_stale(replica)
        });
        if let Some(at) = stale {
            self.drain(at);
        }
    }

    /// Whether a replica of the deployment is forming, draining or broken: one change at a time, so
    /// that a rolling change never takes a second replica away.
    fn is_changing(&self, deployment: &DeploymentName) -> bool {
        let of = self.next.replicas.iter().filter(|replica| replica.deployment == *deployment);
        of.into_iter().any(|r| r.phase != ReplicaPhase::Serving || !self.is_whole(r))
    }

    fn has_stale(&self, deployment: &DeploymentName) -> bool {
        let of = self.next.replicas.iter().filter(|replica| replica.deployment == *deployment);
        of.into_iter().any(|r| r.phase != ReplicaPhase::Draining && self.is_stale(r))
    }

    /// Drains a serving replica, takes out one that never served.
    pub(crate) fn stop(&mut self, at: usize) {
        match self.next.replicas[at].phase {
            ReplicaPhase::Forming => self.dissolve(at),
            ReplicaPhase::Serving => self.drain(at),
            ReplicaPhase::Draining => {}
        }
    }

    pub(crate) fn drain(&mut self, at: usize) {
        self.next.replicas[at].phase = ReplicaPhase::Draining;
    }

    fn names_in(&self, phase: ReplicaPhase) -> Vec<ReplicaName> {
        let of = self.next.replicas.iter().filter(|replica: &&Replica| replica.phase == phase);
        of.map(|replica| replica.name.clone()).collect()
    }
}
