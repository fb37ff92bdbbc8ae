use celeryhaven_telemetry::ProcessMetrics;
use celeryhaven_telemetry::metrics::{DirectionLabel, OutcomeLabel};
use celeryhaven_types::store::StoreReply;

/// Counters of calls to members and to the platform, by outcome.
#[derive(Clone)]
pub(crate) struct Calls(ProcessMetrics);

impl Calls {
    pub(crate) fn new(metrics: ProcessMetrics) -> Self {
        Self(metrics)
    }

    /// Counts a call as answered or failed.
    pub(crate) fn count(&self, call: &'static str, answered: bool) {
        self.add(call, if answered { "answered" } else { "failed" });
    }

    /// Counts a call to the Object API.
    pub(crate) fn count_store(&self, reply: &StoreReply) {
        let outcome = match reply {
            StoreReply::Unknown => "unknown",
            StoreReply::Rejected => "not_done",
            StoreReply::Conflict => "conflict",
            _ => "answered",
        };
        self.add("store", outcome);
        self.count_received(value_bytes(reply));
    }

    /// Counts bytes received from members or the platform, without HTTP headers.
    pub(crate) fn count_received(&self, bytes: usize) {
        let label = DirectionLabel { direction: "received" };
        self.0.control_bytes.get_or_create(&label).inc_by(bytes as u64);
    }

    fn add(&self, call: &'static str, outcome: &'static str) {
        self.0.calls.get_or_create(&OutcomeLabel { call, outcome }).inc();
    }
}

fn value_bytes(reply: &StoreReply) -> usize {
    match reply {
        StoreReply::Found(object) => object.value.len(),
        StoreReply::Listed { objects, .. } => objects.iter().map(|object| object.value.len()).sum(),
        StoreReply::Changes { changes, .. } => {
            changes.iter().filter_map(|change| change.value.as_ref()).map(|value| value.len()).sum()
        }
        _ => 0,
    }
}
