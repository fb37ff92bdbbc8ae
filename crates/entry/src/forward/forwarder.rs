use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celeryhaven_node::Attempt;
use celeryhaven_settings::EntrySettings;
use celeryhaven_telemetry::EntryMetrics;
use celeryhaven_types::{Generation, ReplicaName, TimeMs};

use crate::control::ControlHandle;
use crate::exchange::{AnswerCache, Exchange};
use crate::forward::attempt::run_attempt;
use crate::forward::idle::IdleConnections;
use celeryhaven_clock::BootClock;

/// Destination of an attempt, and the latest time to send it.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) replica: Option<(ReplicaName, Generation)>,
    pub(crate) send_before: TimeMs,
    pub(crate) resume_from: u32,
}

/// Forwards requests to targets and answers to callers.
#[derive(Clone)]
pub(crate) struct Forwarder {
    pub(crate) control: ControlHandle,
    pub(crate) answers: Arc<AnswerCache>,
    pub(crate) metrics: EntryMetrics,
    pub(crate) idle: Arc<IdleConnections>,
    pub(crate) connect_timeout: Duration,
    pub(crate) stall_timeout: Duration,
}

impl Forwarder {
    pub(crate) fn new(
        control: ControlHandle,
        answers: Arc<AnswerCache>,
        metrics: EntryMetrics,
        settings: &EntrySettings,
    ) -> Self {
        Self {
            control,
            answers,
            metrics,
            idle: Arc::default(),
            connect_timeout: Duration::from_millis(settings.connect_timeout_ms),
            stall_timeout: Duration::from_millis(settings.silence_timeout_ms),
        }
    }

    /// Starts an attempt on the traffic threads.
    pub(crate) fn begin(&self, exchange: Arc<Exchange>, attempt: Attempt, target: Target) {
        let waited_ms = BootClock.now().since(exchange.arrived_at);
        match exchange.was_dispatched() {
            true => drop(self.metrics.retries.inc()),
            false => self.metrics.queue_time.observe(waited_ms as f64 / 1_000.0),
        }
        let cancelled = exchange.begin_attempt(attempt);
        let forwarder = self.clone();
        let attempt = run_attempt(forwarder, exchange, attempt, target, cancelled);
        async_global_executor::spawn(attempt).detach();
    }
}
