use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

use crate::metrics::{DirectionLabel, OutcomeLabel};

type SecondsCounter = Counter<f64, AtomicU64>;

/// Metrics of every process, and the registry of all metrics of the process.
#[derive(Clone, Debug)]
pub struct ProcessMetrics {
    registry: Arc<Registry>,
    /// Bytes of control traffic with other processes and with the Object API.
    pub control_bytes: Family<DirectionLabel, Counter>,
    /// CPU time of the control thread.
    pub control_cpu: SecondsCounter,
    /// Events handled by the control thread.
    pub control_events: Counter,
    /// Ticks that the control thread started more than 20 ms late.
    pub control_ticks_late: Counter,
    /// Ticks that the control thread started.
    pub control_ticks: Counter,
    /// Calls to the Object API and polls of members, by outcome.
    pub calls: Family<OutcomeLabel, Counter>,
    /// Number of the configuration in force, or 0 if there is none.
    pub config_number: Gauge,
}

impl ProcessMetrics {
    /// Registers the metrics of every process and those that `register_others` adds.
    pub(crate) fn new(register_others: impl FnOnce(&mut Registry)) -> Self {
        let mut registry = Registry::with_prefix("celeryhaven");
        let mut metrics = Self {
            registry: Arc::default(),
            control_bytes: Family::default(),
            control_cpu: SecondsCounter::default(),
            control_events: Counter::default(),
            control_ticks_late: Counter::default(),
            control_ticks: Counter::default(),
            calls: Family::default(),
            config_number: Gauge::default(),
        };
        metrics.register(&mut registry);
        register_others(&mut registry);
        metrics.registry = Arc::new(registry);
        metrics
    }

    /// Encodes all metrics of the process in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(_) => String::new(),
        }
    }

    fn register(&self, registry: &mut Registry) {
        registry.register_with_unit(
            "control",
            "Control traffic",
            Unit::Bytes,
            self.control_bytes.clone(),
        );
        registry.register_with_unit(
            "control_cpu",
            "CPU time of the control thread",
            Unit::Seconds,
            self.control_cpu.clone(),
        );
        registry.register(
            "control_events",
            "Events the control thread has handled",
            self.control_events.clone(),
        );
        registry.register(
            "control_ticks",
            "Ticks the control thread began",
            self.control_ticks.clone(),
        );
        registry.register(
            "control_ticks_late",
            "Ticks the control thread began more than 20 ms late",
            self.control_ticks_late.clone(),
        );
        registry.register("calls", "Calls to others, by outcome", self.calls.clone());
        registry.register(
            "config_number",
            "Number of the configuration in force",
            self.config_number.clone(),
        );
    }
}
