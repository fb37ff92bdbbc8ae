use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use celeryhaven_node::{
    ControllerAction, ControllerEvent, ControllerNode, Machine, OperatorTicket,
};
use celeryhaven_telemetry::ControllerMetrics;
use celeryhaven_telemetry::metrics::DeploymentLabel;
use celeryhaven_types::store::StoreRequest;
use celeryhaven_types::{OperatorName, OperatorReply, TimeMs};
use slog::{Logger, debug, info};

use crate::control::{ControlProgress, Executor, Message, OperatorMessage};
use celeryhaven_clock::{BootClock, unix_ms};

/// Delay from which a tick counts as late, in milliseconds.
const LATE_TICK_MS: u64 = 20;
/// Interval at which gauges and the thread's CPU time are recorded, in milliseconds.
const GAUGE_INTERVAL_MS: u64 = 1_000;

/// An operator request that waits for its reply.
struct PendingReply {
    operator: OperatorName,
    answer: async_channel::Sender<OperatorReply>,
}

/// Runs the state machine: waits for messages and timers, and dispatches its actions.
pub(crate) struct ControlLoop {
    pub(crate) node: ControllerNode,
    pub(crate) executor: Executor,
    pub(crate) metrics: ControllerMetrics,
    pub(crate) progress: ControlProgress,
    pub(crate) log: Logger,
    clock: BootClock,
    pending_replies: BTreeMap<OperatorTicket, PendingReply>,
    last_ticket: OperatorTicket,
    actions: Vec<ControllerAction>,
    gauges_updated_at: TimeMs,
    cpu_ms: u64,
    has_left: bool,
}

impl ControlLoop {
    pub(crate) fn new(
        node: ControllerNode,
        executor: Executor,
        metrics: ControllerMetrics,
        progress: ControlProgress,
        log: Logger,
    ) -> Self {
        Self {
            node,
            executor,
            metrics,
            progress,
            log,
            clock: BootClock,
            pending_replies: BTreeMap::new(),
            last_ticket: OperatorTicket::default(),
            actions: Vec::new(),
            gauges_updated_at: TimeMs::default(),
            cpu_ms: 0,
            has_left: false,
        }
    }

    /// Runs until the node has left.
    pub(crate) fn run(mut self, inbox: &Receiver<Message>) {
        while !self.has_left {
            let now = self.clock.now();
            self.progress.record_activity(now);
            self.update_gauges(now);
            let Some(due) = self.node.next_wake() else { return };
            if due <= now {
                self.metrics.process.control_ticks.inc();
                // The first tick is due at the clock's zero, long before the process started.
                if due.get() > 0 && now.since(due) > LATE_TICK_MS {
                    self.metrics.process.control_ticks_late.inc();
                }
                self.handle_event(now, ControllerEvent::Tick);
                continue;
            }
            match inbox.recv_timeout(Duration::from_millis(due.since(now))) {
                Ok(message) => self.handle_message(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Event(event) => self.handle_event(now, event),
            Message::OperatorMessage(OperatorMessage { operator, request, answer }) => {
                self.last_ticket = self.last_ticket.next();
                let pending = PendingReply { operator: operator.clone(), answer };
                self.pending_replies.insert(self.last_ticket, pending);
                let ticket = self.last_ticket;
                let at_unix_ms = unix_ms();
                self.handle_event(
                    now,
                    ControllerEvent::Operator { ticket, operator, request, at_unix_ms },
                );
            }
        }
    }

    fn handle_event(&mut self, now: TimeMs, event: ControllerEvent) {
        self.metrics.process.control_events.inc();
        self.node.handle(now, event, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                ControllerAction::Answer { ticket, reply } => self.answer(ticket, reply),
                ControllerAction::Left => self.has_left = true,
                action => {
                    self.log_write(&action);
                    self.executor.execute(action);
                }
            }
        }
    }

    /// Logs every placement and allocation that this process writes.
    fn log_write(&self, action: &ControllerAction) {
        let ControllerAction::Store { request: StoreRequest::Update { key, value, .. }, .. } =
            action
        else {
            return;
        };
        if key.as_str().starts_with("placement/") || key.as_str().starts_with("allocation/") {
            debug!(self.log, "object rewritten"; "key" => %key, "value" => %value);
        }
    }

    fn answer(&mut self, ticket: OperatorTicket, reply: OperatorReply) {
        let Some(pending) = self.pending_replies.remove(&ticket) else { return };
        let outcome = match &reply {
            OperatorReply::Refused(refusal) => refusal.code(),
            OperatorReply::Accepted(record) => {
                info!(self.log, "configuration accepted";
                    "operator" => %record.operator, "config_number" => record.number.get(),
                    "summary" => record.summary.join("; "));
                "accepted"
            }
            _ => "answered",
        };
        info!(self.log, "operator request ended";
            "operator" => %pending.operator, "outcome" => outcome);
        // The operator may have disconnected.
        let _ = pending.answer.try_send(reply);
    }

    /// Updates the gauges and logs changes of the number of held leases.
    fn update_gauges(&mut self, now: TimeMs) {
        if now.since(self.gauges_updated_at) < GAUGE_INTERVAL_MS {
            return;
        }
        let span_s = now.since(self.gauges_updated_at) as f64 / 1_000.0;
        let is_first = self.gauges_updated_at == TimeMs::default();
        self.gauges_updated_at = now;
        let process = &self.metrics.process;
        let cpu_ms = self.clock.thread_cpu_ms();
        process.control_cpu.inc_by((cpu_ms - self.cpu_ms) as f64 / 1_000.0);
        self.cpu_ms = cpu_ms;
        let number = self.node.config().map_or(0, |config| config.number.get());
        process.config_number.set(i64::try_from(number).unwrap_or(i64::MAX));
        let held = self.node.held_domains(now).len() + usize::from(self.node.holds_allocation(now));
        let held = i64::try_from(held).unwrap_or(i64::MAX);
        if self.metrics.leases_held.set(held) != held {
            info!(self.log, "leases changed"; "leases_held" => held);
        }
        if !is_first {
            self.update_deployment_gauges(now, span_s);
        }
    }

    fn update_deployment_gauges(&self, now: TimeMs, span_s: f64) {
        for figures in self.node.figures(now) {
            let deployment = figures.deployment.to_string();
            let label = DeploymentLabel { deployment };
            let missing = figures.wanted.saturating_sub(figures.whole);
            let metrics = &self.metrics;
            metrics.group_downtime.get_or_create(&label).inc_by(f64::from(missing) * span_s);
            metrics.whole_replicas.get_or_create(&label).set(i64::from(figures.whole));
            let stranded = i64::from(figures.stranded_accelerators);
            metrics.stranded_accelerators.get_or_create(&label).set(stranded);
        }
    }
}
