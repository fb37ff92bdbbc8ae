use std::sync::{Arc, Mutex, PoisonError};

use celeryhaven_node::{ControllerAction, ControllerEvent, OrderOutcome};
use celeryhaven_store::{IgnoredVm, StoreClient};
use celeryhaven_telemetry::ControllerMetrics;
use celeryhaven_telemetry::metrics::OutcomeLabel;
use celeryhaven_types::store::StoreReply;
use slog::{Logger, warn};

use crate::control::{Inbox, Message};
use crate::members::Members;

/// Executes the actions of the state machine, each in a task of its own.
#[derive(Clone)]
pub(crate) struct Executor {
    store: StoreClient,
    members: Members,
    inbox: Inbox,
    metrics: ControllerMetrics,
    log: Logger,
    /// The entries of the VM list that could not be read at the last look.
    ignored: Arc<Mutex<Vec<IgnoredVm>>>,
}

impl Executor {
    pub(crate) fn new(
        store: StoreClient,
        members: Members,
        inbox: Inbox,
        metrics: ControllerMetrics,
        log: Logger,
    ) -> Self {
        Self { store, members, inbox, metrics, log, ignored: Arc::default() }
    }

    pub(crate) fn execute(&self, action: ControllerAction) {
        let executor = self.clone();
        smol::spawn(async move {
            if let Some(event) = executor.run_action(action).await {
                // The control thread has ended and needs no event.
                let _ = executor.inbox.send(Message::Event(event));
            }
        })
        .detach();
    }

    async fn run_action(&self, action: ControllerAction) -> Option<ControllerEvent> {
        match action {
            ControllerAction::Store { call, request } => {
                let reply = self.store.call(&request).await;
                self.count("store", store_outcome(&reply));
                Some(ControllerEvent::Store { call, reply })
            }
            ControllerAction::ReadVmList => {
                let list = self.members.vm_list().await;
                self.count("vm_list", if list.is_some() { "ok" } else { "failed" });
                let list = list?;
                self.count_ignored(list.ignored);
                Some(ControllerEvent::VmList { entries: list.entries })
            }
            ControllerAction::Poll { vm, address } => {
                let (took_ms, outcome) = self.members.poll(address).await;
                Some(ControllerEvent::Polled { vm, took_ms, outcome })
            }
            ControllerAction::Order { vm, address, order, send_before } => {
                let outcome = self.members.order(address, &order, send_before).await;
                self.record_order(&vm, order.order_id, outcome);
                Some(ControllerEvent::Ordered { vm, order_id: order.order_id, outcome })
            }
            ControllerAction::Answer { .. } | ControllerAction::Left => None,
        }
    }

    fn count(&self, call: &'static str, outcome: &'static str) {
        self.metrics.process.calls.get_or_create(&OutcomeLabel { call, outcome }).inc();
    }

    /// Counts entries of the VM list that cannot be read, and logs them when they change.
    fn count_ignored(&self, ignored: Vec<IgnoredVm>) {
        ignored.iter().for_each(|_| self.count("vm_entry", "ignored"));
        let mut known = self.ignored.lock().unwrap_or_else(PoisonError::into_inner);
        if *known != ignored {
            for entry in &ignored {
                warn!(self.log, "entry ignored"; "vm" => %entry.name, "error" => &entry.error);
            }
            *known = ignored;
        }
    }

    fn record_order(&self, vm: &celeryhaven_types::VmName, order_id: u64, outcome: OrderOutcome) {
        let text = match outcome {
            OrderOutcome::Accepted => "accepted",
            OrderOutcome::OldFence { .. } => "old_fence",
            OrderOutcome::NotSent => "not_sent",
            OrderOutcome::Unknown => "unknown",
        };
        let label = OutcomeLabel { call: "order", outcome: text };
        self.metrics.orders.get_or_create(&label).inc();
        if let OrderOutcome::OldFence { seen } = outcome {
            warn!(self.log, "a member refused an order with an old fencing number";
                "vm" => %vm, "order_id" => order_id, "seen" => seen.get());
        }
    }
}

const fn store_outcome(reply: &StoreReply) -> &'static str {
    match reply {
        StoreReply::Rejected => "not_done",
        StoreReply::Unknown => "unknown",
        StoreReply::Conflict => "conflict",
        _ => "ok",
    }
}
