use std::collections::BTreeMap;

use celeryhaven_fleet::{MemberState, OrderOutcome, Replica, ReplicaKey, TargetOrder};
use celeryhaven_types::{TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::interface::{FormingAction, FormingView};

/// First pause before a leave that failed is sent again, in milliseconds. Each further failure doubles
/// it.
const LEAVE_RETRY_MS: u64 = 500;

/// Longest pause before a leave that failed is sent again, in milliseconds.
const LEAVE_RETRY_MAX_MS: u64 = 8_000;

/// How long a dissolved replica is remembered, in milliseconds: as long as unlisted members of a plan
/// may still be listed in it.
const MEMORY_MS: u64 = 20_000;

/// Time in which the list may still show a dissolved replica as it was, in milliseconds.
const LIST_LAG_MS: u64 = 1_500;

/// A replica whose members were ordered to leave.
///
/// Remembered for as long as the list shows it. Otherwise a member whose leave failed, and which the
/// list still shows in the replica, would have the replica dissolved again in each step.
#[derive(Clone, Debug)]
pub(crate) struct Dissolved {
    since: TimeMs,
    /// Whether its end was logged.
    pub(crate) end_logged: bool,
    /// Members that were ordered to leave.
    leaves: BTreeMap<VmName, LeaveRetry>,
}

/// When a leave may be sent again to a member that has not left.
#[derive(Clone, Copy, Debug)]
struct LeaveRetry {
    retry_at: TimeMs,
    pause_ms: u64,
}

impl Dissolved {
    fn new(since: TimeMs) -> Self {
        Self { since, end_logged: false, leaves: BTreeMap::new() }
    }

    fn may_order(&self, now: TimeMs, member: &VmName) -> bool {
        self.leaves.get(member).is_none_or(|leave| leave.retry_at <= now)
    }
}

impl DomainPlanner {
    /// Records that a replica is being dissolved; returns the members that are to be ordered to leave.
    pub(crate) fn record_dissolved(
        &mut self,
        now: TimeMs,
        key: &ReplicaKey,
        mut members: Vec<VmName>,
    ) -> Vec<VmName> {
        let pending: Vec<VmName> = self.pending_leaves(key).cloned().collect();
        let left = &self.left;
        let dissolved = self.dissolved.entry(key.clone()).or_insert_with(|| Dissolved::new(now));
        members.retain(|member| {
            !pending.contains(member)
                && !left.contains(&(member.clone(), key.clone()))
                && dissolved.may_order(now, member)
        });
        for member in &members {
            let first = LeaveRetry { retry_at: now, pause_ms: 0 };
            let leave = dissolved.leaves.entry(member.clone()).or_insert(first);
            leave.pause_ms = (leave.pause_ms * 2).clamp(LEAVE_RETRY_MS, LEAVE_RETRY_MAX_MS);
            leave.retry_at = now.after(leave.pause_ms);
        }
        members
    }

    /// Starts the pause of a leave that failed.
    pub(crate) fn record_leave(
        &mut self,
        now: TimeMs,
        key: &ReplicaKey,
        member: &VmName,
        outcome: OrderOutcome,
    ) {
        let leaves = self.dissolved.get_mut(key).map(|dissolved| &mut dissolved.leaves);
        let leave = leaves.and_then(|leaves| leaves.get_mut(member));
        let has_failed = matches!(outcome, OrderOutcome::TargetRemoved | OrderOutcome::Unanswered);
        if let Some(leave) = leave.filter(|_| has_failed) {
            leave.retry_at = now.after(leave.pause_ms);
        }
    }

    /// Continues a dissolved replica that the list still shows: orders members that have not left to
    /// leave once their pause has ended.
    pub(crate) fn advance_dissolved(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        replica: &Replica,
        out: &mut Vec<FormingAction>,
    ) {
        if replica.head_state == Some(MemberState::Broken) {
            return self.release(replica);
        }
        if self.is_intact(now, view, replica) {
            self.dissolved.remove(&replica.key);
            return;
        }
        let members = replica.members.iter().flatten();
        let reachable = members.filter(|member| self.is_reachable(member)).cloned().collect();
        let ReplicaKey { replica: name, generation } = replica.key.clone();
        for member in self.record_dissolved(now, &replica.key, reachable) {
            let order = TargetOrder::Leave { replica: name.clone(), generation };
            self.send(member, order, out);
        }
    }

    /// Drops dissolved replicas that are no longer listed.
    pub(crate) fn expire_dissolved(&mut self, now: TimeMs, view: FormingView<'_>) {
        let dissolving = &self.dissolving;
        self.dissolved.retain(|key, dissolved| {
            view.replicas.contains_key(key)
                || dissolving.contains_key(key)
                || now.since(dissolved.since) < MEMORY_MS
        });
    }

    /// Whether no member has left a dissolved replica, which serves with all of them.
    ///
    /// No leave has reached a member, and the cause may have passed: it is judged as any other.
    fn is_intact(&self, now: TimeMs, view: FormingView<'_>, replica: &Replica) -> bool {
        let Some(dissolved) = self.dissolved.get(&replica.key) else { return false };
        let size = replica.model.as_ref().and_then(|model| Some(view.profile.model(model)?.size));
        let mut members = replica.members.iter().flatten();
        now.since(dissolved.since) >= LIST_LAG_MS
            && replica.head_state == Some(MemberState::Open)
            && size.is_some_and(|size| replica.is_complete(size))
            && self.pending_leaves(&replica.key).next().is_none()
            && members.all(|member| {
                self.is_reachable(member)
                    && !self.left.contains(&(member.clone(), replica.key.clone()))
            })
    }

    /// Returns the members whose order to leave has no outcome yet.
    fn pending_leaves(&self, key: &ReplicaKey) -> impl Iterator<Item = &VmName> {
        let leaves = self.pending.values().filter(|pending| match &pending.order {
            TargetOrder::Leave { replica, generation } => {
                *replica == key.replica && *generation == key.generation
            }
            _ => false,
        });
        leaves.map(|pending| &pending.target)
    }
}
