use celeryhaven_fleet::{OrderOutcome, ReplicaKey, TargetOrder};
use celeryhaven_types::{TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::domain::formation::PendingOrder;
use crate::interface::FormingAction;

impl DomainPlanner {
    /// Sends an order and waits for its outcome.
    pub(crate) fn send(
        &mut self,
        target: VmName,
        order: TargetOrder,
        out: &mut Vec<FormingAction>,
    ) {
        let call = self.next_call;
        self.next_call = call.next();
        let (again, name) = (order.clone(), target.clone());
        let pending = PendingOrder { target: name, order: again, tries: 1, again_at: None };
        self.pending.insert(call, pending);
        out.push(FormingAction::Order { call, target, order });
    }

    /// Sends again what got no answer; every order holds when it is carried out twice.
    pub(crate) fn send_again(&mut self, now: TimeMs, out: &mut Vec<FormingAction>) {
        for (&call, pending) in &mut self.pending {
            if pending.again_at.is_some_and(|at| at <= now) {
                pending.again_at = None;
                pending.tries += 1;
                let (target, order) = (pending.target.clone(), pending.order.clone());
                out.push(FormingAction::Order { call, target, order });
            }
        }
    }

    /// Takes over what became of an order.
    pub(crate) fn ordered(
        &mut self,
        now: TimeMs,
        call: crate::OrderCall,
        outcome: OrderOutcome,
        out: &mut Vec<FormingAction>,
    ) {
        let Some(pending) = self.pending.remove(&call) else { return };
        let wanted = self.is_wanted(&pending);
        if outcome == OrderOutcome::Unanswered && wanted {
            if pending.tries < self.settings.join_tries_max {
                let again_at = Some(now.after(self.settings.order_retry_ms));
                self.pending.insert(call, PendingOrder { again_at, ..pending });
                return;
            }
            self.unreachable.insert(pending.target.clone(), now);
        }
        if outcome == OrderOutcome::TargetRemoved {
            self.unreachable.insert(pending.target.clone(), now);
        }
        match &pending.order {
            TargetOrder::Join { replica, generation, .. } => {
                let key = key(replica, *generation);
                self.joined(now, &key, &pending.target, outcome, out);
            }
            TargetOrder::Open { replica, generation } => {
                let key = key(replica, *generation);
                if let Some(formation) = self.formations.get_mut(&key) {
                    formation.open_sent = outcome == OrderOutcome::Accepted;
                }
            }
            TargetOrder::Leave { replica, generation } => {
                let key = key(replica, *generation);
                self.left(&key, &pending.target, outcome);
            }
            TargetOrder::Stage { .. } => {
                if outcome == OrderOutcome::Accepted {
                    self.unstageable.remove(&pending.target);
                } else {
                    self.stage_failed(now, &pending.target);
                }
            }
            TargetOrder::Close { .. } => {}
        }
    }

    fn is_wanted(&self, pending: &PendingOrder) -> bool {
        match &pending.order {
            TargetOrder::Join { replica, generation, .. }
            | TargetOrder::Open { replica, generation } => {
                self.formations.contains_key(&key(replica, *generation))
            }
            TargetOrder::Leave { replica, generation }
            | TargetOrder::Close { replica, generation, .. } => {
                self.dissolving.contains_key(&key(replica, *generation))
            }
            TargetOrder::Stage { .. } => false,
        }
    }
}

fn key(
    replica: &celeryhaven_types::ReplicaName,
    generation: celeryhaven_types::Generation,
) -> ReplicaKey {
    ReplicaKey { replica: replica.clone(), generation }
}
