use celeryhaven_fleet::{MemberState, OrderOutcome, ReplicaKey, TargetOrder};
use celeryhaven_types::{TimeMs, VmName};

use crate::domain::DomainFormer;
use crate::domain::formation::Dissolving;
use crate::interface::{FormingAction, FormingView};

impl DomainFormer {
    /// Takes a replica apart: its members are free once its head has left.
    ///
    /// Guards against a target in two replicas: while the head is open, or stands still without
    /// having noticed, a member that joins another replica would be in both.
    pub(crate) fn dissolve(
        &mut self,
        key: &ReplicaKey,
        head: Option<VmName>,
        out: &mut Vec<FormingAction>,
    ) {
        let dissolving =
            Dissolving { head, head_missing_since: None, closed_at: None, leave_sent: false };
        self.dissolving.insert(key.clone(), dissolving);
        self.order_leave(key, out);
    }

    /// Goes on with what is being taken apart.
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

    /// Takes over what became of a leave.
    pub(crate) fn left(
        &mut self,
        key: &ReplicaKey,
        head: &VmName,
        outcome: OrderOutcome,
        out: &mut Vec<FormingAction>,
    ) {
        let Some(dissolving) = self.dissolving.get_mut(key) else { return };
        match outcome {
            // A refusal says that the head is not in this replica any more.
            OrderOutcome::Accepted | OrderOutcome::Refused | OrderOutcome::Gone => {
                self.release(key, "head left", Some(head), out);
            }
            OrderOutcome::Unanswered => dissolving.leave_sent = false,
        }
    }

    fn advance_one(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        key: &ReplicaKey,
        out: &mut Vec<FormingAction>,
    ) {
        let Some(dissolving) = self.dissolving.get_mut(key) else { return };
        let head = dissolving.head.as_ref().and_then(|name| view.fleet.target(name));
        let lapsed = dissolving.head.as_ref().is_some_and(|name| view.fleet.is_lapsed(name));
        let Some(head) = head.filter(|_| !lapsed) else {
            let since = *dissolving.head_missing_since.get_or_insert(now);
            if now.since(since) >= self.settings.head_gone_ms {
                self.release(key, "head gone", None, out);
            }
            return;
        };
        dissolving.head_missing_since = None;
        let membership = head.membership.as_ref();
        let state = membership
            .filter(|member| member.replica == key.replica && member.generation == key.generation)
            .map(|member| member.state);
        let closing = dissolving.closed_at.is_some_and(|at| {
            state == Some(MemberState::Closing) && now.since(at) < self.settings.drain_wait_ms
                || state == Some(MemberState::Open)
                    && now.since(at) < self.settings.order_retry_ms * 3
        });
        if state == Some(MemberState::Broken) {
            self.release(key, "broken", None, out);
        } else if !closing {
            self.order_leave(key, out);
        }
    }

    fn order_leave(&mut self, key: &ReplicaKey, out: &mut Vec<FormingAction>) {
        let Some(dissolving) = self.dissolving.get_mut(key) else { return };
        let Some(head) = dissolving.head.clone() else { return };
        if dissolving.leave_sent {
            return;
        }
        dissolving.leave_sent = true;
        let ReplicaKey { replica, generation } = key.clone();
        self.send(head, TargetOrder::Leave { replica, generation }, out);
    }

    fn release(
        &mut self,
        key: &ReplicaKey,
        why: &'static str,
        head: Option<&VmName>,
        out: &mut Vec<FormingAction>,
    ) {
        self.dissolving.remove(key);
        self.note(key, why, head, out);
        self.released.insert(key.clone());
    }
}
