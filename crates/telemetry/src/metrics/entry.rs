use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Unit;

use crate::metrics::buckets::latency_histogram;
use crate::metrics::{ProcessMetrics, RequestLabels};

/// Metrics of an entry process.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    /// Metrics of every process.
    pub process: ProcessMetrics,
    /// Completed requests, by verdict.
    pub requests: Family<RequestLabels, Counter>,
    /// Time from arrival to the first attempt.
    pub queue_time: Histogram,
    /// Time from arrival to the first token or byte for the caller.
    pub first_token: Histogram,
    /// Time from arrival to the end of the answer.
    pub answer_time: Histogram,
    /// Active requests.
    pub in_flight: Gauge,
    /// Attempts after the first of a request.
    pub retries: Counter,
    /// Requests delegated to the entry that issued their key.
    pub delegated: Counter,
    /// Targets that may receive requests.
    pub targets_up: Gauge,
    /// Replicas in the placements.
    pub replicas: Gauge,
    /// Replicas in the placements that are whole as seen from this node.
    pub replicas_whole: Gauge,
    /// Time that replicas were not whole as seen from this node, summed over replicas.
    pub group_downtime: Counter<f64, AtomicU64>,
}

impl EntryMetrics {
    /// Registers the metrics of an entry.
    ///
    /// ```
    /// let metrics = celeryhaven_telemetry::EntryMetrics::new();
    /// metrics.retries.inc();
    /// assert!(metrics.process.encode().contains("celeryhaven_retries_total 1"));
    /// ```
    pub fn new() -> Self {
        let requests = Family::default();
        let (queue_time, first_token, answer_time) =
            (latency_histogram(), latency_histogram(), latency_histogram());
        let in_flight = Gauge::default();
        let (retries, delegated) = (Counter::default(), Counter::default());
        let (targets_up, replicas, replicas_whole) =
            (Gauge::default(), Gauge::default(), Gauge::default());
        let group_downtime = Counter::<f64, AtomicU64>::default();
        let process = ProcessMetrics::new(|registry| {
            let mut register_time = |name: &str, help: &str, histogram: &Histogram| {
                registry.register_with_unit(name, help, Unit::Seconds, histogram.clone());
            };
            register_time("queue_time", "From arrival to the first attempt", &queue_time);
            register_time("first_token", "From arrival to the caller's first token", &first_token);
            register_time("answer_time", "From arrival to the end of the answer", &answer_time);
            registry.register("requests", "Requests that ended, by verdict", requests.clone());
            registry.register_with_unit(
                "group_downtime",
                "Time that replicas were not whole, summed over replicas",
                Unit::Seconds,
                group_downtime.clone(),
            );
            registry.register("targets_up", "Targets that may take requests", targets_up.clone());
            registry.register("replicas", "Replicas that a placement names", replicas.clone());
            registry.register(
                "replicas_whole",
                "Replicas that this node sees whole",
                replicas_whole.clone(),
            );
            registry.register("in_flight", "Requests that are here now", in_flight.clone());
            registry.register("retries", "Attempts after a request's first", retries.clone());
            registry.register(
                "passed_on",
                "Requests passed on to another entry",
                delegated.clone(),
            );
        });
        Self {
            process,
            requests,
            queue_time,
            first_token,
            answer_time,
            in_flight,
            retries,
            delegated,
            targets_up,
            replicas,
            replicas_whole,
            group_downtime,
        }
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}
