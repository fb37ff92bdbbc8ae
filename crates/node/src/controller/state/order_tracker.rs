use std::collections::BTreeMap;

use celeryhaven_placement::MemberOrder;
use celeryhaven_types::{OrderKind, TimeMs, VmName};

use crate::controller::interface::OrderOutcome;

/// Orders issued in one lease term, by member.
///
/// An unanswered order is resent with the same identity, so that an engine executes it once. An
/// accepted order without an effect is reissued with a new identity: the engine restarted, or a
/// late order of a previous holder undid it.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrderTracker {
    last_number: u64,
    tracked: BTreeMap<VmName, TrackedOrder>,
}

#[derive(Clone, Debug)]
struct TrackedOrder {
    kind: OrderKind,
    number: u64,
    sent_at: TimeMs,
    accepted_at: Option<TimeMs>,
}

impl OrderTracker {
    /// Drops the orders of members without a due order.
    pub(crate) fn retain_due(&mut self, due: &[MemberOrder]) {
        self.tracked.retain(|vm, _| due.iter().any(|order| order.vm == *vm));
    }

    /// Returns the number with which to send an order now, if it is due.
    pub(crate) fn send(
        &mut self,
        now: TimeMs,
        retry_ms: u64,
        effect_timeout_ms: u64,
        order: &MemberOrder,
    ) -> Option<u64> {
        let tracked = self.tracked.get_mut(&order.vm).filter(|s| s.kind == order.kind);
        if let Some(tracked) = tracked {
            match tracked.accepted_at {
                None if now.since(tracked.sent_at) < retry_ms => return None,
                None => {
                    tracked.sent_at = now;
                    return Some(tracked.number);
                }
                Some(accepted_at) if now.since(accepted_at) < effect_timeout_ms => return None,
                Some(_) => {}
            }
        }
        self.last_number += 1;
        let kind = order.kind.clone();
        let tracked =
            TrackedOrder { kind, number: self.last_number, sent_at: now, accepted_at: None };
        self.tracked.insert(order.vm.clone(), tracked);
        Some(self.last_number)
    }

    pub(crate) fn completed(
        &mut self,
        now: TimeMs,
        vm: &VmName,
        number: u64,
        outcome: OrderOutcome,
    ) {
        let tracked = self.tracked.get_mut(vm).filter(|tracked| tracked.number == number);
        if let Some(tracked) = tracked.filter(|_| outcome == OrderOutcome::Accepted) {
            tracked.accepted_at = Some(now);
        }
    }
}
