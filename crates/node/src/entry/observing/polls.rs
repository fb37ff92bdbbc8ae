use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use celeryhaven_types::{TimeMs, VmName};

struct PollState {
    address: SocketAddr,
    due_at: TimeMs,
    requested_at: Option<TimeMs>,
}

/// Schedule of member polls.
///
/// At most one poll of a member is pending, so an unresponsive member holds one connection.
#[derive(Default)]
pub(crate) struct Polls {
    members: BTreeMap<VmName, PollState>,
    due: BTreeSet<(TimeMs, VmName)>,
}

impl Polls {
    /// Replaces the set of members; new ones are due immediately.
    pub(crate) fn set_members(&mut self, now: TimeMs, members: &BTreeMap<VmName, SocketAddr>) {
        self.members.retain(|vm, _| members.contains_key(vm));
        for (vm, address) in members {
            let initial = PollState { address: *address, due_at: now, requested_at: None };
            self.members.entry(vm.clone()).or_insert(initial).address = *address;
        }
        self.due = self
            .members
            .iter()
            .filter(|(_, poll)| poll.requested_at.is_none())
            .map(|(vm, poll)| (poll.due_at, vm.clone()))
            .collect();
    }

    /// Returns when the next poll is due.
    pub(crate) fn next_wake(&self) -> Option<TimeMs> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Returns a member that is due; its poll is pending until [`Polls::complete`].
    pub(crate) fn take_due(&mut self, now: TimeMs) -> Option<(VmName, SocketAddr)> {
        if self.next_wake()? > now {
            return None;
        }
        let (_, vm) = self.due.pop_first()?;
        let poll = self.members.get_mut(&vm)?;
        poll.requested_at = Some(now);
        Some((vm, poll.address))
    }

    /// Records the completion of a poll; returns when it was sent, or `None` if none was pending.
    pub(crate) fn complete(
        &mut self,
        now: TimeMs,
        vm: &VmName,
        interval_ms: u64,
    ) -> Option<TimeMs> {
        let poll = self.members.get_mut(vm)?;
        let requested_at = poll.requested_at.take()?;
        poll.due_at = requested_at.after(interval_ms).max(now.after(1));
        self.due.insert((poll.due_at, vm.clone()));
        Some(requested_at)
    }

    /// Makes a member due immediately, unless a poll of it is pending.
    pub(crate) fn expedite(&mut self, now: TimeMs, vm: &VmName) {
        let Some(poll) = self.members.get_mut(vm) else { return };
        if poll.requested_at.is_none() && poll.due_at > now {
            self.due.remove(&(poll.due_at, vm.clone()));
            poll.due_at = now;
            self.due.insert((now, vm.clone()));
        }
    }
}
