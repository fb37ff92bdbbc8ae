use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Unit;

use crate::metrics::buckets::latency_histogram;
use crate::metrics::{OutcomeLabel, ProcessMetrics, ReasonLabel, StoreCallLabel};

/// Metrics of a gateway process.
#[derive(Clone, Debug)]
pub struct GatewayMetrics {
    /// Metrics of every process.
    pub process: ProcessMetrics,
    /// Completed requests, by outcome.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Time from arrival to completion of a request.
    pub request_time: Histogram,
    /// Requests waiting for a target.
    pub queued: Gauge,
    /// Replicas that are whole as seen from this node.
    pub replicas_whole: Gauge,
    /// Fabric domains whose coordinator this node is.
    pub domains: Gauge,
    /// Orders to targets, by kind and outcome.
    pub orders: Family<OutcomeLabel, Counter>,
    /// Requests that are refused because targets ended each time they ran them.
    pub quarantined: Gauge,
    /// Ends of targets that this node has attributed to a request it had sent.
    pub crash_reports: Counter,
    /// Targets that name a limit.
    pub targets_limited: Gauge,
    /// Targets that have asked this node for a pause.
    pub targets_backing_off: Gauge,
    /// Loads from the weights store that were granted to this node.
    pub loads_granted: Counter,
    /// Data centres that are evacuated.
    pub evacuations: Gauge,
    /// Whether this node has lost its links to all targets of a service.
    pub isolated: Gauge,
    /// Requests that were delegated to other nodes, by outcome.
    pub delegated: Family<OutcomeLabel, Counter>,
    /// Second attempts beside those whose targets were silent or slow, by reason and outcome.
    pub second_attempts: Family<ReasonLabel, Counter>,
    /// Times that a replica was found quiet.
    pub quiet_replicas: Counter,
    /// Requests that still run in evacuated data centres.
    pub evacuating_requests: Gauge,
    /// Calls to the platform's store, by kind of object and call.
    pub store_calls: Family<StoreCallLabel, Counter>,
}

impl GatewayMetrics {
    /// Registers the metrics of a gateway.
    ///
    /// ```
    /// let metrics = celeryhaven_telemetry::GatewayMetrics::new();
    /// metrics.record_request("answered", 12);
    /// assert!(metrics.process.encode().contains("celeryhaven_requests_total"));
    /// ```
    pub fn new() -> Self {
        let (requests, orders) = (Family::default(), Family::default());
        let store_calls: Family<StoreCallLabel, Counter> = Family::default();
        let request_time = latency_histogram();
        let (queued, replicas_whole, domains) =
            (Gauge::default(), Gauge::default(), Gauge::default());
        let (quarantined, crash_reports) = (Gauge::default(), Counter::default());
        let targets_limited = Gauge::default();
        let targets_backing_off = Gauge::default();
        let loads_granted = Counter::default();
        let (isolated, delegated) = (Gauge::default(), Family::default());
        let second_attempts: Family<ReasonLabel, Counter> = Family::default();
        let quiet_replicas = Counter::default();
        let (evacuations, evacuating_requests) = (Gauge::default(), Gauge::default());
        let process = ProcessMetrics::new(|registry| {
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
            registry.register(
                "quarantined",
                "Requests that are kept away from targets",
                quarantined.clone(),
            );
            registry.register(
                "crash_reports",
                "Ends of targets attributed to a request",
                crash_reports.clone(),
            );
            registry.register(
                "targets_limited",
                "Targets that name a limit",
                targets_limited.clone(),
            );
            registry.register(
                "targets_backing_off",
                "Targets that have asked this node for a pause",
                targets_backing_off.clone(),
            );
            registry.register(
                "loads_granted",
                "Loads from the weights store that were granted to this node",
                loads_granted.clone(),
            );
            registry.register(
                "evacuations",
                "Data centres that are evacuated",
                evacuations.clone(),
            );
            registry.register(
                "evacuating_requests",
                "Requests that still run in evacuated data centres",
                evacuating_requests.clone(),
            );
            registry.register(
                "isolated",
                "Whether this node has lost its links to all targets of a service",
                isolated.clone(),
            );
            registry.register(
                "delegated",
                "Requests that were delegated to other nodes, by outcome",
                delegated.clone(),
            );
            registry.register(
                "second_attempts",
                "Second attempts beside those whose targets were silent or slow, by reason and outcome",
                second_attempts.clone(),
            );
            registry.register(
                "quiet_replicas",
                "Times that the streams of a replica had paused for longer than a pass can take",
                quiet_replicas.clone(),
            );
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
            quarantined,
            crash_reports,
            targets_limited,
            targets_backing_off,
            loads_granted,
            evacuations,
            evacuating_requests,
            isolated,
            delegated,
            second_attempts,
            quiet_replicas,
            store_calls,
        }
    }

    /// Records a completed request.
    pub fn record_request(&self, outcome: &'static str, took_ms: u64) {
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
