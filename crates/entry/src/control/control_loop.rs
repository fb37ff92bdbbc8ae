use std::time::Duration;

use celeryhaven_node::{EntryAction, EntryEvent, EntryNode, Machine};
use celeryhaven_policy::RequestPolicy;
use celeryhaven_telemetry::EntryMetrics;
use celeryhaven_types::{ConfigNumber, TimeMs};

use crate::control::{ActionExecutor, ControlHandle, Message, Query, View};
use celeryhaven_clock::BootClock;

/// Delay from which a tick counts as late, in milliseconds.
const LATE_TICK_THRESHOLD_MS: u64 = 20;
/// Interval between updates of the metrics, in milliseconds.
const METRICS_INTERVAL_MS: u64 = 250;

/// Drives the state machine: passes it messages and ticks, and executes its actions.
pub(crate) struct ControlLoop<P> {
    node: EntryNode<P>,
    handle: ControlHandle,
    action_executor: ActionExecutor,
    metrics: EntryMetrics,
    clock: BootClock,
    actions: Vec<EntryAction>,
    published: Option<(bool, Option<ConfigNumber>)>,
    cpu_ms: u64,
    metrics_updated_at: TimeMs,
    stopped: bool,
}

impl<P: RequestPolicy> ControlLoop<P> {
    pub(crate) fn new(
        node: EntryNode<P>,
        handle: ControlHandle,
        action_executor: ActionExecutor,
        metrics: EntryMetrics,
    ) -> Self {
        Self {
            node,
            handle,
            action_executor,
            metrics,
            clock: BootClock,
            actions: Vec::new(),
            published: None,
            cpu_ms: 0,
            metrics_updated_at: TimeMs::new(0),
            stopped: false,
        }
    }

    /// Runs until the node has left or a stop is requested.
    pub(crate) fn run(mut self) {
        let mut messages = Vec::new();
        while !self.stopped {
            self.tick_if_due();
            let wait = self.node.next_wake().map(|at| at.since(self.clock.now()));
            let handle = self.handle.clone();
            handle.mailbox().take(wait.map(Duration::from_millis), &mut messages);
            for message in messages.drain(..) {
                self.handle_message(message);
                self.tick_if_due();
            }
            self.update_metrics();
        }
        self.handle.mailbox().close();
    }

    fn tick_if_due(&mut self) {
        let now = self.clock.now();
        let Some(due) = self.node.next_wake().filter(|due| *due <= now) else { return };
        self.metrics.process.control_ticks.inc();
        // The first tick is due at the clock's zero, long before the process began.
        if due.get() > 0 && now.since(due) > LATE_TICK_THRESHOLD_MS {
            self.metrics.process.control_ticks_late.inc();
        }
        self.handle_event(now, EntryEvent::Tick);
    }

    fn handle_message(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            // The exchange must outlive the actions: one of them may dispatch it.
            Message::Event { event, exchange } => {
                self.handle_event(now, event);
                drop(exchange);
            }
            Message::Query(Query::Addresses { data_centre, answer }) => {
                let _ = answer.try_send(self.node.addresses(data_centre.as_ref()));
            }
            Message::Query(Query::Keys { organisation, count, answer }) => {
                let _ = answer.try_send(self.node.issue_keys(now, &organisation, count));
            }
            Message::Query(Query::Stop) => self.stopped = true,
        }
    }

    fn handle_event(&mut self, now: TimeMs, event: EntryEvent) {
        self.metrics.process.control_events.inc();
        self.node.handle(now, event, &mut self.actions);
        // Before the actions, because they read the configuration in force.
        self.publish();
        for action in self.actions.drain(..) {
            self.stopped |= action == EntryAction::Left;
            self.action_executor.execute(action);
        }
    }

    fn publish(&mut self) {
        let current = (self.node.is_ready(), self.node.config_number());
        if self.published == Some(current) {
            return;
        }
        self.published = Some(current);
        let number = current.1.unwrap_or_default().get();
        self.metrics.process.config_number.set(i64::try_from(number).unwrap_or(i64::MAX));
        self.handle.publish(View::new(current.0, self.node.config()));
    }

    fn update_metrics(&mut self) {
        let now = self.clock.now();
        let since_ms = now.since(self.metrics_updated_at);
        if since_ms < METRICS_INTERVAL_MS {
            return;
        }
        let first = std::mem::replace(&mut self.metrics_updated_at, now).get() == 0;
        let cpu_ms = self.clock.thread_cpu_ms();
        self.metrics.process.control_cpu.inc_by((cpu_ms - self.cpu_ms) as f64 / 1_000.0);
        self.cpu_ms = cpu_ms;
        let status = self.node.status(now);
        let whole = status.replicas.iter().filter(|replica| replica.is_up).count();
        let down = status.replicas.len() - whole;
        set(&self.metrics.targets_up, status.targets_up);
        set(&self.metrics.replicas, status.replicas.len());
        set(&self.metrics.replicas_whole, whole);
        if !first {
            self.metrics.group_downtime.inc_by(down as f64 * since_ms as f64 / 1_000.0);
        }
    }
}

fn set(gauge: &celeryhaven_telemetry::metrics::Gauge, value: usize) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}
