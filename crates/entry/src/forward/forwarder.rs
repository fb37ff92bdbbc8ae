use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celeryhaven_node::Attempt;
use celeryhaven_settings::EntrySettings;
use celeryhaven_telemetry::EntryMetrics;
use celeryhaven_types::{Generation, ReplicaName, TimeMs};

use crate::control::ControlHandle;
use crate::exchange::{Exchange, KeptAnswers};
use crate::forward::attempt::run_attempt;
use crate::forward::idle::IdleConnections;
use celeryhaven_clock::BootClock;

/// Where an attempt goes, and until when it may begin.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) replica: Option<(ReplicaName, Generation)>,
    pub(crate) send_before: TimeMs,
    pub(crate) resume_from: u32,
}

/// Sends requests to targets and their answers to callers.
#[derive(Clone)]
pub(crate) struct Forwarder {
    pub(crate) control: ControlHandle,
    pub(crate) kept: Arc<KeptAnswers>,
    pub(crate) metrics: EntryMetrics,
    pub(crate) idle: Arc<IdleConnections>,
    pub(crate) connect_timeout: Duration,
    pub(crate) silence: Duration,
}

impl Forwarder {
    pub(crate) fn new(
        control: ControlHandle,
        kept: Arc<KeptAnswers>,
        metrics: EntryMetrics,
        settings: &EntrySettings,
    ) -> Self {
        Self {
            control,
            kept,
            metrics,
            idle: Arc::default(),
            connect_timeout: Duration::from_millis(settings.connect_timeout_ms),
            silence: Duration::from_millis(settings.silence_timeout_ms),
        }
    }

    /// Begins an attempt on the traffic threads.
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
