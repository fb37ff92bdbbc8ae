use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Unit;

use crate::metrics::buckets::latency_histogram;
use crate::metrics::{
    ModelLabel, OutcomeLabel, ProcessMetrics, RankLabel, RankOutcomeLabel, StoreCallLabel,
};

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
    /// Formations of replicas that failed, by cause.
    pub formations_failed: Family<OutcomeLabel, Counter>,
    /// Requests that are refused because targets ended each time they ran them.
    pub quarantined: Gauge,
    /// Ends of targets that this node has attributed to a request it had sent.
    pub crash_reports: Counter,
    /// Targets that name a limit.
    pub targets_limited: Gauge,
    /// Targets that have asked this node for a pause.
    pub targets_backing_off: Gauge,
    /// Targets that are kept without an entry, because they served when it was removed.
    pub targets_unlisted: Gauge,
    /// Loads from the weights store that were granted to this node.
    pub loads_granted: Counter,
    /// Data centres that are evacuated.
    pub evacuations: Gauge,
    /// Whether this node has lost its links to all targets of a service.
    pub isolated: Gauge,
    /// Requests that were delegated to other nodes, by outcome.
    pub delegated: Family<OutcomeLabel, Counter>,
    /// Second attempts beside those whose targets were silent or slow, by outcome.
    pub second_attempts: Family<OutcomeLabel, Counter>,
    /// Requests that still run in evacuated data centres.
    pub evacuating_requests: Gauge,
    /// Answers that began within the objective and after it, by rank of the route.
    pub answers: Family<RankOutcomeLabel, Counter>,
    /// Requests of callers that had been refused before, by rank of the route.
    pub returns: Family<RankLabel, Counter>,
    /// Share of the slots that this node may use by the demand of its callers, by model, in thousandths.
    pub slot_share_permille: Family<ModelLabel, Gauge>,
    /// Age of the known demand of the fleet, in milliseconds.
    pub demand_age_ms: Gauge,
    /// Bytes that request bodies use, with what is kept free for those that are read.
    pub body_bytes: Gauge,
    /// Most bytes that request bodies may use.
    pub body_bytes_max: Gauge,
    /// Request bodies that wait for room.
    pub bodies_waiting: Gauge,
    /// Request bodies that were refused for want of room, by reason.
    pub bodies_refused: Family<OutcomeLabel, Counter>,
    /// Answers that the protocol does not allow, by call and reason.
    pub invalid_answers: Family<OutcomeLabel, Counter>,
    /// Objects in the store that could not be read, counted each time they were.
    pub entries_ignored: Counter,
    /// Bytes of answers that callers have not taken.
    pub unread_answer_bytes: Gauge,
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
        let targets_unlisted = Gauge::default();
        let loads_granted = Counter::default();
        let formations_failed: Family<OutcomeLabel, Counter> = Family::default();
        let (isolated, delegated) = (Gauge::default(), Family::default());
        let second_attempts: Family<OutcomeLabel, Counter> = Family::default();
        let answers: Family<RankOutcomeLabel, Counter> = Family::default();
        let returns: Family<RankLabel, Counter> = Family::default();
        let (evacuations, evacuating_requests) = (Gauge::default(), Gauge::default());
        let slot_share_permille: Family<ModelLabel, Gauge> = Family::default();
        let demand_age_ms = Gauge::default();
        let (body_bytes, body_bytes_max, bodies_waiting) =
            (Gauge::default(), Gauge::default(), Gauge::default());
        let unread_answer_bytes = Gauge::default();
        let bodies_refused: Family<OutcomeLabel, Counter> = Family::default();
        let invalid_answers: Family<OutcomeLabel, Counter> = Family::default();
        let entries_ignored = Counter::default();
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
                "formations_failed",
                "Formations of replicas that failed, by cause",
                formations_failed.clone(),
            );
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
                "targets_unlisted",
                "Targets that are kept without an entry",
                targets_unlisted.clone(),
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
                "Second attempts beside those whose targets were silent or slow, by outcome",
                second_attempts.clone(),
            );
            registry.register(
                "answers",
                "Answers that began within and after the objective, by rank of the route",
                answers.clone(),
            );
            registry.register(
                "returns",
                "Requests of callers that had been refused before, by rank of the route",
                returns.clone(),
            );
            registry.register(
                "slot_share_permille",
                "Share of the slots by the demand of this node's callers, by model",
                slot_share_permille.clone(),
            );
            registry.register(
                "demand_age_ms",
                "Age of the known demand of the fleet",
                demand_age_ms.clone(),
            );
            registry.register("body_bytes", "Bytes of request bodies", body_bytes.clone());
            registry.register(
                "body_bytes_max",
                "Most bytes that request bodies may use",
                body_bytes_max.clone(),
            );
            registry.register(
                "bodies_waiting",
                "Request bodies that wait for room",
                bodies_waiting.clone(),
            );
            registry.register(
                "entries_ignored",
                "Objects in the store that could not be read",
                entries_ignored.clone(),
            );
            registry.register(
                "invalid_answers",
                "Answers that the protocol does not allow, by call and reason",
                invalid_answers.clone(),
            );
            registry.register(
                "bodies_refused",
                "Request bodies that were refused for want of room, by reason",
                bodies_refused.clone(),
            );
            registry.register(
                "unread_answer_bytes",
                "Bytes of answers that callers have not taken",
                unread_answer_bytes.clone(),
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
            formations_failed,
            quarantined,
            crash_reports,
            targets_limited,
            targets_backing_off,
            targets_unlisted,
            loads_granted,
            evacuations,
            evacuating_requests,
            isolated,
            delegated,
            second_attempts,
            answers,
            returns,
            slot_share_permille,
            demand_age_ms,
            body_bytes,
            body_bytes_max,
            bodies_waiting,
            bodies_refused,
            invalid_answers,
            entries_ignored,
            unread_answer_bytes,
            store_calls,
        }
    }

    /// Records an answer, and whether it began within the objective of its route.
    pub fn record_answer(&self, rank: u8, is_in_time: bool) {
        let outcome = if is_in_time { "within objective" } else { "after objective" };
        self.answers.get_or_create(&RankOutcomeLabel { rank: u32::from(rank), outcome }).inc();
    }

    /// Records a request of a caller that had been refused before.
    pub fn record_return(&self, rank: u8) {
        self.returns.get_or_create(&RankLabel { rank: u32::from(rank) }).inc();
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
