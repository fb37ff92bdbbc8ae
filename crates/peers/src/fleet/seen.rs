use celeryhaven_types::TimeMs;

use crate::node::{NodeRecord, ProbeResult};

/// Failed probes in a row after which a node counts as silent.
const SILENT_PROBES: u32 = 2;

/// How long a node is named to callers after its last good probe, in milliseconds.
///
/// Three probes, one of which may be lost. Callers keep an address for some seconds more, and a
/// node that is gone costs each of them a second.
const PROBE_LIFE_MS: u64 = 2_500;

/// One other node.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) record: NodeRecord,
    pub(crate) changed_at: TimeMs,
    /// Its last answer to a probe; the record alone may be of a node that is long gone.
    answered_at: Option<TimeMs>,
    last: Option<ProbeResult>,
    failures: u32,
}

impl Seen {
    pub(crate) fn new(now: TimeMs, record: NodeRecord) -> Self {
        Self { record, changed_at: now, answered_at: None, last: None, failures: 0 }
    }

    /// Takes over what a probe showed.
    pub(crate) fn probed(&mut self, now: TimeMs, probe: ProbeResult) {
        match probe {
            ProbeResult::Unanswered => self.failures = self.failures.saturating_add(1),
            ProbeResult::Ready | ProbeResult::CutOff | ProbeResult::NotReady => {
                self.failures = 0;
                self.answered_at = Some(now);
                self.last = Some(probe);
            }
        }
    }

    /// Whether it has never been probed.
    pub(crate) fn is_unprobed(&self) -> bool {
        self.last.is_none() && self.failures == 0
    }

    /// Whether it lives and takes requests, as far as is known.
    pub(crate) fn is_live(&self) -> bool {
        self.failures < SILENT_PROBES && self.last != Some(ProbeResult::NotReady)
    }

    /// Whether it lives and the store serves it, as far as probes show.
    pub(crate) fn is_served(&self) -> bool {
        self.is_live() && self.last == Some(ProbeResult::Ready)
    }

    /// Whether it lives and says that the store does not serve it.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.is_live() && self.last == Some(ProbeResult::CutOff)
    }

    /// Whether callers may be told of it.
    pub(crate) fn is_named(&self, now: TimeMs) -> bool {
        let answered = self.answered_at.is_some_and(|at| now.since(at) < PROBE_LIFE_MS);
        self.is_live() && answered
    }
}
