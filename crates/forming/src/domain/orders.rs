use celeryhaven_fleet::{OrderOutcome, ReplicaKey, TargetOrder};
use celeryhaven_load_quota::LoadOutcome;
use celeryhaven_types::{TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::domain::formation::PendingOrder;
use crate::domain::load_grants::GrantedLoad;
use crate::interface::{FormingAction, OrderId};

impl DomainPlanner {
    /// Sends an order and records it as pending.
    pub(crate) fn send(
        &mut self,
        target: VmName,
        order: TargetOrder,
        out: &mut Vec<FormingAction>,
    ) {
        self.send_with(target, order, None, out);
    }

    /// Sends an order that may begin a load.
    pub(crate) fn send_load(
        &mut self,
        target: VmName,
        order: TargetOrder,
        load: GrantedLoad,
        out: &mut Vec<FormingAction>,
    ) {
        let (name, grant) = (target.clone(), load.grant.clone());
        out.push(FormingAction::RecordLoadOrder { target: name, order: order.as_str(), grant });
        self.send_with(target, order, Some(load), out);
    }

    fn send_with(
        &mut self,
        target: VmName,
        order: TargetOrder,
        load: Option<GrantedLoad>,
        out: &mut Vec<FormingAction>,
    ) {
        let id = OrderId { planner: self.id, number: self.orders_given };
        self.orders_given += 1;
        // A silent target would carry it out on waking, when its reason may be gone.
        let ends_streams = matches!(order, TargetOrder::Leave { .. } | TargetOrder::Close { .. });
        let is_held = ends_streams && self.silent.contains_key(&target);
        let send_by = load.as_ref().map(|load| load.send_by);
        let pending = PendingOrder {
            target: target.clone(),
            order: order.clone(),
            attempts: 1,
            retry_at: None,
            is_held,
            grant: load.map(|load| load.grant),
        };
        self.pending.insert(id, pending);
        if !is_held {
            out.push(FormingAction::Order { id, target, order, send_by });
        }
    }

    /// Sends the orders that were held back for targets that answer again; those for targets that are
    /// lost count as unanswered.
    pub(crate) fn release_held_orders(&mut self, now: TimeMs, out: &mut Vec<FormingAction>) {
        let held = self.pending.iter().filter(|(_, pending)| pending.is_held);
        let due = held.filter(|(_, pending)| !self.silent.contains_key(&pending.target));
        for id in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            let Some(pending) = self.pending.get_mut(&id) else { continue };
            let (target, order) = (pending.target.clone(), pending.order.clone());
            if self.unreachable.contains_key(&target) {
                pending.attempts = self.settings.order_attempts_max;
                self.apply_order_outcome(now, id, OrderOutcome::Unanswered, out);
            } else {
                pending.is_held = false;
                out.push(FormingAction::Order { id, target, order, send_by: None });
            }
        }
    }

    /// Sends unanswered orders again once their retry is due. Every order is idempotent.
    pub(crate) fn retry_orders(&mut self, now: TimeMs, out: &mut Vec<FormingAction>) {
        for (&id, pending) in &mut self.pending {
            if pending.retry_at.is_some_and(|at| at <= now) {
                pending.retry_at = None;
                pending.attempts += 1;
                let (target, order) = (pending.target.clone(), pending.order.clone());
                out.push(FormingAction::Order { id, target, order, send_by: None });
            }
        }
    }

    /// Applies the outcome of an order.
    pub(crate) fn apply_order_outcome(
        &mut self,
        now: TimeMs,
        id: OrderId,
        outcome: OrderOutcome,
        out: &mut Vec<FormingAction>,
    ) {
        let Some(mut pending) = self.pending.remove(&id) else { return };
        // Later attempts are the same order: they begin no further load.
        if let Some(grant) = pending.grant.take() {
            out.push(FormingAction::RecordLoad { grant, outcome: load_outcome(outcome) });
        }
        let is_accepted = matches!(outcome, OrderOutcome::Accepted | OrderOutcome::AlreadyHeld);
        let wanted = self.is_still_needed(&pending);
        if outcome == OrderOutcome::Unanswered && wanted {
            if pending.attempts < self.settings.order_attempts_max {
                let retry_at = Some(now.after(self.settings.order_retry_ms));
                self.pending.insert(id, PendingOrder { retry_at, ..pending });
                return;
            }
            self.suspect_silent(now, &pending.target, out);
            let is_silent = self.silent.contains_key(&pending.target);
            if is_silent && matches!(pending.order, TargetOrder::Close { .. }) {
                // Its replica serves until the head has finished.
                self.pending.insert(id, PendingOrder { is_held: true, attempts: 1, ..pending });
                return;
            }
        }
        if outcome == OrderOutcome::TargetRemoved {
            self.unreachable.insert(pending.target.clone(), now);
        }
        match &pending.order {
            TargetOrder::Join { replica, generation, .. } => {
                let key = key(replica, *generation);
                self.apply_join_outcome(now, &key, &pending.target, outcome, out);
            }
            TargetOrder::Open { replica, generation } => {
                let key = key(replica, *generation);
                if let Some(formation) = self.formations.get_mut(&key) {
                    formation.open_sent = is_accepted;
                }
            }
            TargetOrder::Leave { replica, generation } => {
                let key = key(replica, *generation);
                self.apply_leave_outcome(now, &key, &pending.target, outcome);
            }
            TargetOrder::Stage { .. } => {
                if matches!(outcome, OrderOutcome::TargetRemoved | OrderOutcome::Unanswered) {
                    self.plan_pauses.record_failure(now, &pending.target);
                }
                if outcome == OrderOutcome::Unanswered {
                    self.load_grants.record_late_stage(now, &pending.target);
                }
                if is_accepted {
                    self.stage_backoff.remove(&pending.target);
                } else {
                    self.stage_failed(now, &pending.target);
                }
            }
            TargetOrder::Close { replica, generation, .. } => {
                let dissolving = self.dissolving.get_mut(&key(replica, *generation));
                if let Some(closing_since) = dissolving.and_then(|it| it.closing_since.as_mut()) {
                    *closing_since = now;
                }
            }
        }
    }

    /// Whether the head of a replica has not answered its order to close yet.
    pub(crate) fn is_close_pending(&self, closing: &ReplicaKey) -> bool {
        self.pending.values().any(|pending| match &pending.order {
            TargetOrder::Close { replica, generation, .. } => key(replica, *generation) == *closing,
            _ => false,
        })
    }

    fn is_still_needed(&self, pending: &PendingOrder) -> bool {
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

/// Returns whether an order with this outcome may have begun a load.
const fn load_outcome(outcome: OrderOutcome) -> LoadOutcome {
    match outcome {
        OrderOutcome::Accepted => LoadOutcome::Begun,
        OrderOutcome::Unanswered => LoadOutcome::Unanswered,
        OrderOutcome::AlreadyHeld | OrderOutcome::Refused | OrderOutcome::TargetRemoved => {
            LoadOutcome::NotBegun
        }
    }
}

fn key(
    replica: &celeryhaven_types::ReplicaName,
    generation: celeryhaven_types::Generation,
) -> ReplicaKey {
    ReplicaKey { replica: replica.clone(), generation }
}
