use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Unit;

use crate::metrics::buckets::seconds;
use crate::metrics::{OutcomeLabel, ProcessMetrics, StoreCallLabel};

/// What a gateway process measures.
#[derive(Clone, Debug)]
pub struct GatewayMetrics {
    /// What every process measures.
    pub process: ProcessMetrics,
    /// Requests that ended, by outcome.
    pub requests: Family<OutcomeLabel, Counter>,
    /// From arrival to the end of the request.
    pub request_time: Histogram,
    /// Requests that wait for a target.
    pub queued: Gauge,
    /// Replicas that this node sees whole.
    pub replicas_whole: Gauge,
    /// Fabric domains that this node decides for.
    pub domains: Gauge,
    /// Orders to targets, by kind and outcome.
    pub orders: Family<OutcomeLabel, Counter>,
    /// Calls to the platform's store, by kind of object and call.
    pub store_calls: Family<StoreCallLabel, Counter>,
}

impl GatewayMetrics {
    /// Registers the metrics of a gateway.
    ///
    /// ```
    /// let metrics = celeryhaven_telemetry::GatewayMetrics::new();
    /// metrics.ended("answered", 12);
    /// assert!(metrics.process.encode().contains("celeryhaven_requests_total"));
    /// ```
    pub fn new() -> Self {
        let (requests, orders) = (Family::default(), Family::default());
        let store_calls: Family<StoreCallLabel, Counter> = Family::default();
        let request_time = seconds();
        let (queued, replicas_whole, domains) =
            (Gauge::default(), Gauge::default(), Gauge::default());
        let process = ProcessMetrics::with_registered(|registry| {
            registry.register("requests", "Requests that ended, by outcome", requests.clone());
            registry.register_with_unit(
                "request_time",
                "From arrival to the end of the request",
                Unit::Seconds,
                request_time.clone(),
            );
            registry.register("queued", "Requests that wait for a target", queued.clone());
            registry.register(
                "replicas_whole",
                "Replicas that this node sees whole",
                replicas_whole.clone(),
            );
            registry.register("domains", "Fabric domains decided here", domains.clone());
            registry.register("orders", "Orders to targets", orders.clone());
            registry.register("store_calls", "Calls to the platform's store", store_calls.clone());
        });
        Self {
            process,
            requests,
            request_time,
            queued,
            replicas_whole,
            domains,
            orders,
            store_calls,
        }
    }

    /// Counts the end of a request.
    pub fn ended(&self, outcome: &'static str, took_ms: u64) {
        let label = OutcomeLabel { call: "request", outcome };
        self.requests.get_or_create(&label).inc();
        self.request_time.observe(took_ms as f64 / 1_000.0);
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}
