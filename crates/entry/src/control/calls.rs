use std::sync::{Arc, Mutex, PoisonError};

use celeryhaven_store::IgnoredVm;
use celeryhaven_telemetry::ProcessMetrics;
use celeryhaven_telemetry::metrics::{DirectionLabel, OutcomeLabel};
use celeryhaven_types::store::StoreReply;
use slog::{Logger, warn};

/// Counters of calls to members and to the platform, by outcome.
#[derive(Clone)]
pub(crate) struct Calls {
    metrics: ProcessMetrics,
    log: Logger,
    /// The entries of the VM list that could not be read at the last look.
    ignored: Arc<Mutex<Vec<IgnoredVm>>>,
}

impl Calls {
    pub(crate) fn new(metrics: ProcessMetrics, log: Logger) -> Self {
        Self { metrics, log, ignored: Arc::default() }
    }

    /// Counts entries of the VM list that cannot be read, and logs them when they change.
    pub(crate) fn count_ignored(&self, ignored: Vec<IgnoredVm>) {
        ignored.iter().for_each(|_| self.add("vm_entry", "ignored"));
        let mut known = self.ignored.lock().unwrap_or_else(PoisonError::into_inner);
        if *known != ignored {
            for entry in &ignored {
                warn!(self.log, "entry ignored"; "vm" => %entry.name, "error" => &entry.error);
            }
            *known = ignored;
        }
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
        self.metrics.control_bytes.get_or_create(&label).inc_by(bytes as u64);
    }

    fn add(&self, call: &'static str, outcome: &'static str) {
        self.metrics.calls.get_or_create(&OutcomeLabel { call, outcome }).inc();
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
