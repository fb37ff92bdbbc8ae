use celeryhaven_fleet::{MemberState, OrderOutcome, Replica, ReplicaKey, TargetOrder};
use celeryhaven_types::{TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::domain::formation::Dissolving;
use crate::interface::{FormingAction, FormingView};

impl DomainPlanner {
    /// Takes a replica apart: each member is free once it has left.
    ///
    /// Guards against a target in two replicas. The head may be out of reach and its entry lapsed
    /// while it still serves behind a cut, so its silence proves nothing. A member that has left
    /// belongs to nothing, whatever the head believes, and a head without a member answers nothing.
    pub(crate) fn dissolve(
        &mut self,
        key: &ReplicaKey,
        members: Vec<VmName>,
        out: &mut Vec<FormingAction>,
    ) {
        let dissolving = Dissolving { waiting: members.into_iter().collect(), closed_at: None };
        self.dissolving.insert(key.clone(), dissolving);
        self.order_leaves(key, out);
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
    pub(crate) fn left(&mut self, key: &ReplicaKey, member: &VmName, outcome: OrderOutcome) {
        match outcome {
            // A refusal says that the target is not in this replica any more.
            OrderOutcome::Accepted | OrderOutcome::Refused | OrderOutcome::TargetRemoved => {
                self.left.insert((member.clone(), key.clone()));
            }
            OrderOutcome::Unanswered => {}
        }
        if let Some(dissolving) = self.dissolving.get_mut(key) {
            dissolving.waiting.remove(member);
        }
    }

    /// Lets the members of a broken replica go without a word: it cannot serve any more.
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
        let Some(closed_at) = dissolving.closed_at else {
            if dissolving.waiting.is_empty() {
                self.dissolving.remove(key);
                self.note(key, "taken apart", None, out);
            }
            return;
        };
        let state = view.replicas.get(key).and_then(|replica| replica.head_state);
        let waited_ms = now.since(closed_at);
        let is_closing = match state {
            Some(MemberState::Closing) => waited_ms < self.settings.drain_wait_ms,
            Some(MemberState::Open) => waited_ms < self.settings.order_retry_ms * 3,
            // The head leaves without a word: as long as it answers, it may have work.
            None => {
                let head = self.planned(key).and_then(|plan| plan.members.first().cloned());
                let answers = head.is_some_and(|head| self.departing.contains_key(&head));
                answers && waited_ms < self.settings.unlisted_wait_ms
            }
            _ => false,
        };
        if !is_closing {
            let members = dissolving.waiting.iter().cloned().collect();
            self.dissolve(key, members, out);
        }
    }

    fn order_leaves(&mut self, key: &ReplicaKey, out: &mut Vec<FormingAction>) {
        let Some(dissolving) = self.dissolving.get(key) else { return };
        let ReplicaKey { replica, generation } = key.clone();
        for member in dissolving.waiting.clone() {
            let order = TargetOrder::Leave { replica: replica.clone(), generation };
            self.send(member, order, out);
        }
    }
}
