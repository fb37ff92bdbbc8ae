use celeryhaven_policy::{PolicyEvent, RequestPolicy, TargetKey};
use celeryhaven_types::store::{StoreCallId, StoreReply};
use celeryhaven_types::{TimeMs, VmEntry, VmName, VmPhase, VmRole};

use crate::entry::observing::Target;
use crate::entry::{EntryAction, EntryNode, PollOutcome};

/// Processes VM lists, store replies and polls, and notifies the policy of target changes.
impl<P: RequestPolicy> EntryNode<P> {
    pub(crate) fn next_call(&mut self) -> StoreCallId {
        self.last_call = self.last_call.next();
        self.last_call
    }

    /// Handles the end of a process pause: rereads all inputs, and sends no request before.
    pub(crate) fn resume_after_pause(&mut self, now: TimeMs, out: &mut Vec<EntryAction>) {
        self.fleet.spread.resume(now);
        self.vm_list_due_at = now;
        self.check_confirmed(now, out);
        self.announce_all(now, out);
        self.read_vm_list(now, out);
    }

    pub(crate) fn store_reply(
        &mut self,
        now: TimeMs,
        call: StoreCallId,
        reply: &StoreReply,
        out: &mut Vec<EntryAction>,
    ) {
        if let Some(once_call) = self.once_calls.remove(&call) {
            let mut actions = Vec::new();
            self.once.apply_store_reply(now, once_call, reply, &mut actions);
            return self.apply_once(now, actions, out);
        }
        self.spread_reply(now, call, reply, out);
    }

    pub(crate) fn read_vm_list(&mut self, now: TimeMs, out: &mut Vec<EntryAction>) {
        if self.vm_list_due_at <= now {
            self.vm_list_due_at = now.after(self.settings.vm_list_interval_ms);
            self.pause.vm_list_requested();
            out.push(EntryAction::ReadVmList);
        }
    }

    pub(crate) fn vm_list(
        &mut self,
        now: TimeMs,
        entries: Vec<VmEntry>,
        out: &mut Vec<EntryAction>,
    ) {
        let vms = entries.into_iter().map(|entry| (entry.vm.clone(), entry)).collect();
        let is_released = self.pause.vm_list_read();
        if self.vms == vms && !is_released {
            return;
        }
        self.vms = vms;
        let senders = self.vms.values().filter(|entry| entry.role == VmRole::Entry).count();
        let nodes = u32::try_from(senders.max(1)).unwrap_or(u32::MAX);
        self.notify_policy(now, PolicyEvent::Senders { nodes }, out);
        self.reconcile(now, out);
    }

    /// Updates targets and polls from the latest configuration, placements and VM list.
    pub(crate) fn reconcile(&mut self, now: TimeMs, out: &mut Vec<EntryAction>) {
        let Some(config) = self.catalogue.config() else { return };
        let placements = self.catalogue.placements();
        self.targets.reconcile(&self.settings, config, placements, &self.vms);
        let organisations: Vec<_> = match self.is_sweeper() {
            true => config.intent.organisations.iter().map(|known| known.name.clone()).collect(),
            false => Vec::new(),
        };
        self.once.set_swept_organisations(&organisations);
        self.observe_due_at = now;
        self.observe(now, out);
        self.announce_all(now, out);
    }

    /// Whether this node deletes expired claims: the first live entry of the VM list by name.
    fn is_sweeper(&self) -> bool {
        let mut entries = self.vms.values();
        let first = entries.find(|e| e.role == VmRole::Entry && e.phase == VmPhase::Live);
        first.is_some_and(|entry| entry.vm.as_str() == self.settings.incarnation.node.as_str())
    }

    pub(crate) fn send_polls(&mut self, now: TimeMs, out: &mut Vec<EntryAction>) {
        while let Some((vm, address)) = self.polls.take_due(now) {
            out.push(EntryAction::Poll { vm, address });
        }
    }

    /// Processes the completion of a poll.
    ///
    /// A failed poll marks the replica as unavailable at once, because requests sent to a replica
    /// with a lost member are lost too. A single lost answer costs one poll interval without this
    /// replica.
    pub(crate) fn polled(
        &mut self,
        now: TimeMs,
        vm: &VmName,
        outcome: &PollOutcome,
        out: &mut Vec<EntryAction>,
    ) {
        let interval_ms = self.settings.poll_interval_ms;
        let Some(requested_at) = self.polls.complete(now, vm, interval_ms) else { return };
        for key in self.targets.of_vm(vm) {
            let Some(target) = self.targets.get_mut(key) else { continue };
            let was_whole = target.flaw(now).is_none();
            let load = match outcome {
                PollOutcome::Reported(report) if report.vm == *vm => {
                    target.report(now, requested_at, report)
                }
                _ => {
                    target.forget(vm);
                    None
                }
            };
            if was_whole && target.flaw(now).is_some() {
                self.report_loss(key, out);
            }
            self.announce(now, key, out);
            let up = self.targets.get(key).is_some_and(Target::is_up);
            if let Some(load) = load.filter(|_| up) {
                self.notify_policy(now, PolicyEvent::Reported { target: key, load }, out);
            }
        }
        self.send_polls(now, out);
    }

    /// Marks a target as unavailable until every member has reported again, because a request to it
    /// failed.
    pub(crate) fn suspect(&mut self, now: TimeMs, key: TargetKey, out: &mut Vec<EntryAction>) {
        if let Some(target) = self.targets.get_mut(key)
            && let Some(front) = target.front().cloned()
        {
            target.forget(&front);
        }
        self.distrust_observers(now, key);
        self.expedite_polls(now, key);
        self.announce(now, key, out);
    }

    /// Polls the members of a target immediately.
    pub(crate) fn expedite_polls(&mut self, now: TimeMs, key: TargetKey) {
        let Some(target) = self.targets.get(key) else { return };
        for vm in target.vms() {
            self.polls.expedite(now, vm);
        }
    }

    pub(crate) fn announce_all(&mut self, now: TimeMs, out: &mut Vec<EntryAction>) {
        self.eligibility_due_at = TimeMs::new(u64::MAX);
        let keys: Vec<TargetKey> = self.targets.iter().map(|target| target.key).collect();
        for key in keys {
            self.announce(now, key, out);
        }
    }

    /// Notifies the policy if the target's eligibility or its profile has changed.
    pub(crate) fn announce(&mut self, now: TimeMs, key: TargetKey, out: &mut Vec<EntryAction>) {
        let life_ms = self.settings.report_life_ms;
        let is_holding = self.pause.is_holding() || !self.fleet.may_serve();
        let Some(target) = self.targets.get_mut(key) else { return };
        let until = target.eligible_until(now, life_ms).filter(|_| !is_holding);
        if let Some(until) = until {
            self.eligibility_due_at = self.eligibility_due_at.min(until);
        }
        let announced = target.announced.clone();
        target.announced = until.map(|_| target.profile.clone());
        if announced == target.announced {
            return;
        }
        let event = match target.announced.clone() {
            Some(profile) => PolicyEvent::TargetUp { target: key, profile },
            None => PolicyEvent::TargetDown { target: key },
        };
        self.notify_policy(now, event, out);
    }
}
