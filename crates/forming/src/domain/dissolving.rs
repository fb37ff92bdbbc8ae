use celeryhaven_fleet::{MemberState, OrderOutcome, Replica, ReplicaKey, TargetOrder};
use celeryhaven_types::{TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::domain::formation::Dissolving;
use crate::interface::{FormingAction, FormingView};

impl DomainPlanner {
    /// Orders all members to leave a replica. Each member is free once it has left.
    ///
    /// The head may be unreachable and its entry lapsed while it still serves callers, so a missing
    /// answer does not prove that it has stopped. It cannot serve without its members, whatever its
    /// own state, so it is enough that they have left.
    ///
    /// A member that was ordered to leave before is ordered again only once its pause has ended.
    pub(crate) fn dissolve(
        &mut self,
        now: TimeMs,
        key: &ReplicaKey,
        members: Vec<VmName>,
        out: &mut Vec<FormingAction>,
    ) {
        let members = self.record_dissolved(now, key, members);
        let earlier = self.dissolving.remove(key).filter(|it| it.closing_since.is_none());
        let mut remaining = earlier.map(|it| it.remaining).unwrap_or_default();
        remaining.extend(members.iter().cloned());
        let dissolving = Dissolving { remaining, closing_since: None };
        self.dissolving.insert(key.clone(), dissolving);
        let ReplicaKey { replica, generation } = key.clone();
        for member in members {
            let order = TargetOrder::Leave { replica: replica.clone(), generation };
            self.send(member, order, out);
        }
    }

    /// Advances the replicas that are being dissolved.
    pub(crate) fn advance_dissolving(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        out: &mut Vec<FormingAction>,
    ) {
        for key in self.dissolving.keys().cloned().collect::<Vec<_>>() {
            self.advance_one(now, view, &key, out);
        }
    }

    /// Applies the outcome of a leave order.
    pub(crate) fn apply_leave_outcome(
        &mut self,
        now: TimeMs,
        key: &ReplicaKey,
        member: &VmName,
        outcome: OrderOutcome,
    ) {
        self.record_leave(now, key, member, outcome);
        match outcome {
            // A refusal means that the target is no longer in this replica.
            OrderOutcome::Accepted | OrderOutcome::AlreadyHeld | OrderOutcome::Refused => {
                self.left.insert((member.clone(), key.clone()));
            }
            // The path may reset connections to a target that goes on. One that has ended leaves the list,
            // or comes back without a replica.
            OrderOutcome::TargetRemoved | OrderOutcome::Unanswered => {}
        }
        if let Some(dissolving) = self.dissolving.get_mut(key) {
            dissolving.remaining.remove(member);
        }
    }

    /// Marks the members of a broken replica as free without ordering them to leave.
    pub(crate) fn release(&mut self, replica: &Replica) {
        let members = replica.members.iter().flatten();
        self.left.extend(members.map(|member| (member.clone(), replica.key.clone())));
    }

    fn advance_one(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        key: &ReplicaKey,
        out: &mut Vec<FormingAction>,
    ) {
        let Some(dissolving) = self.dissolving.get(key).cloned() else { return };
        let Some(closing_since) = dissolving.closing_since else {
            if dissolving.remaining.is_empty() {
                self.dissolving.remove(key);
                let dissolved = self.dissolved.get_mut(key);
                let was_logged =
                    dissolved.is_some_and(|it| std::mem::replace(&mut it.end_logged, true));
                if !was_logged {
                    self.log_change(key, "taken apart", None, out);
                }
            }
            return;
        };
        let state = view.replicas.get(key).and_then(|replica| replica.head_state);
        let waited_ms = now.since(closing_since);
        let has_lost_member =
            dissolving.remaining.iter().any(|member| self.unreachable.contains_key(member));
        let is_closing = match state {
            _ if has_lost_member => false,
            Some(MemberState::Closing) => waited_ms < self.settings.drain_timeout_ms,
            Some(MemberState::Open) if self.is_close_pending(key) => true,
            Some(MemberState::Open) => waited_ms < self.settings.order_retry_ms * 3,
            // The head is no longer listed. It may have requests as long as it answers.
            None => {
                let head = self.planned(key).and_then(|plan| plan.members.first().cloned());
                let answers = head.is_some_and(|head| self.departing.contains_key(&head));
                answers && waited_ms < self.settings.unlisted_drain_timeout_ms
            }
            _ => false,
        };
        if !is_closing {
            let members = dissolving.remaining.iter().cloned().collect();
            self.dissolve(now, key, members, out);
        }
    }
}
