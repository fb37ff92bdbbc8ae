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

use crate::control::{Carrier, Message, Question, Watch};
use celeryhaven_clock::{BootClock, unix_ms};

/// A tick that begins this much later than it was due counts as late, in milliseconds.
const LATE_MS: u64 = 20;
/// How often gauges and the CPU time of the thread are noted, in milliseconds.
const NOTE_MS: u64 = 1_000;

/// An operator who waits for an answer.
struct Asker {
    operator: OperatorName,
    answer: async_channel::Sender<OperatorReply>,
}

/// Drives the state machine: waits for messages and time, carries out what it wants.
pub(crate) struct ControlLoop {
    pub(crate) node: ControllerNode,
    pub(crate) carrier: Carrier,
    pub(crate) metrics: ControllerMetrics,
    pub(crate) watch: Watch,
    pub(crate) log: Logger,
    clock: BootClock,
    askers: BTreeMap<OperatorTicket, Asker>,
    last_ticket: OperatorTicket,
    actions: Vec<ControllerAction>,
    noted_at: TimeMs,
    cpu_ms: u64,
    has_left: bool,
}

impl ControlLoop {
    pub(crate) fn new(
        node: ControllerNode,
        carrier: Carrier,
        metrics: ControllerMetrics,
        watch: Watch,
        log: Logger,
    ) -> Self {
        Self {
            node,
            carrier,
            metrics,
            watch,
            log,
            clock: BootClock,
            askers: BTreeMap::new(),
            last_ticket: OperatorTicket::default(),
            actions: Vec::new(),
            noted_at: TimeMs::default(),
            cpu_ms: 0,
            has_left: false,
        }
    }

    /// Runs until the node has left.
    pub(crate) fn run(mut self, inbox: &Receiver<Message>) {
        while !self.has_left {
            let now = self.clock.now();
            self.watch.looked(now);
            self.note(now);
            let Some(due) = self.node.next_wake() else { return };
            if due <= now {
                self.metrics.process.control_ticks.inc();
                // The first tick is due at the clock's zero, long before the process began.
                if due.get() > 0 && now.since(due) > LATE_MS {
                    self.metrics.process.control_ticks_late.inc();
                }
                self.hear(now, ControllerEvent::Tick);
                continue;
            }
            match inbox.recv_timeout(Duration::from_millis(due.since(now))) {
                Ok(message) => self.take(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn take(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Event(event) => self.hear(now, event),
            Message::Question(Question { operator, request, answer }) => {
                self.last_ticket = self.last_ticket.next();
                let asker = Asker { operator: operator.clone(), answer };
                self.askers.insert(self.last_ticket, asker);
                let ticket = self.last_ticket;
                let at_unix_ms = unix_ms();
                self.hear(now, ControllerEvent::Operator { ticket, operator, request, at_unix_ms });
            }
        }
    }

    fn hear(&mut self, now: TimeMs, event: ControllerEvent) {
        self.metrics.process.control_events.inc();
        self.node.handle(now, event, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                ControllerAction::Answer { ticket, reply } => self.answer(ticket, reply),
                ControllerAction::Left => self.has_left = true,
                action => {
                    self.note_write(&action);
                    self.carrier.carry_out(action);
                }
            }
        }
    }

    /// Leaves a trace of every placement and allocation that this process writes.
    fn note_write(&self, action: &ControllerAction) {
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
        let Some(asker) = self.askers.remove(&ticket) else { return };
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
            "operator" => %asker.operator, "outcome" => outcome);
        // The operator may have gone away; what was accepted stays accepted.
        let _ = asker.answer.try_send(reply);
    }

    /// Brings the gauges up to date and says which leases came or went.
    fn note(&mut self, now: TimeMs) {
        if now.since(self.noted_at) < NOTE_MS {
            return;
        }
        let span_s = now.since(self.noted_at) as f64 / 1_000.0;
        let is_first = self.noted_at == TimeMs::default();
        self.noted_at = now;
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
            self.note_deployments(now, span_s);
        }
    }

    fn note_deployments(&self, now: TimeMs, span_s: f64) {
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
