use celeryhaven_types::TimeMs;

use crate::node::{NodeRecord, ProbeResult};

/// Consecutive unanswered probes after which a node is considered unreachable.
const UNANSWERED_PROBES_MAX: u32 = 2;

/// How long a node is advertised to callers after its last answered probe, in milliseconds.
///
/// Covers three probe intervals, of which one probe may be lost. Callers keep an address for some
/// more seconds.
const PROBE_VALIDITY_MS: u64 = 2_500;

/// State of one other node.
#[derive(Clone, Debug)]
pub(crate) struct NodeState {
    pub(crate) record: NodeRecord,
    pub(crate) changed_at: TimeMs,
    /// Time of the last answered probe. A record alone does not show that its node still runs.
    last_answered_at: Option<TimeMs>,
    last_result: Option<ProbeResult>,
    /// Whether the node has accepted requests since its start.
    was_ready: bool,
    consecutive_failures: u32,
}

impl NodeState {
    pub(crate) fn new(now: TimeMs, record: NodeRecord) -> Self {
        Self {
            record,
            changed_at: now,
            last_answered_at: None,
            last_result: None,
            was_ready: false,
            consecutive_failures: 0,
        }
    }

    /// Records a probe result.
    pub(crate) fn record_probe(&mut self, now: TimeMs, result: ProbeResult) {
        match result {
            ProbeResult::Unanswered => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
            }
            ProbeResult::Ready
            | ProbeResult::CutOff
            | ProbeResult::Isolated
            | ProbeResult::NotReady => {
                self.consecutive_failures = 0;
                self.last_answered_at = Some(now);
                self.last_result = Some(result);
                self.was_ready |= result != ProbeResult::NotReady;
            }
        }
    }

    /// Whether the node has not been probed yet.
    pub(crate) fn is_unprobed(&self) -> bool {
        self.last_result.is_none() && self.consecutive_failures == 0
    }

    /// Whether the node is assumed to be reachable and to accept requests.
    pub(crate) fn is_live(&self) -> bool {
        self.consecutive_failures < UNANSWERED_PROBES_MAX
            && self.last_result != Some(ProbeResult::NotReady)
    }

    /// Whether other nodes may follow the node: it answers, and is not leaving.
    ///
    /// A node that has just started accepts no requests yet, but may be the one from which the
    /// others learn what they need to accept requests.
    pub(crate) fn may_relay(&self) -> bool {
        let is_leaving = self.last_result == Some(ProbeResult::NotReady) && self.was_ready;
        self.consecutive_failures < UNANSWERED_PROBES_MAX && !is_leaving
    }

    /// Replaces the record; a process that has started anew has not been ready yet.
    pub(crate) fn set_record(&mut self, record: NodeRecord) {
        if record.boot != self.record.boot {
            (self.was_ready, self.last_result) = (false, None);
            self.consecutive_failures = 0;
        }
        self.record = record;
    }

    /// Whether the node is live and its last answered probe reported store access.
    pub(crate) fn has_store_access(&self) -> bool {
        self.is_live() && self.last_result == Some(ProbeResult::Ready)
    }

    /// Whether the node is live and reports that it is cut off from the store.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.is_live() && self.last_result == Some(ProbeResult::CutOff)
    }

    /// Whether the node is live and reports that it has lost its links to targets.
    pub(crate) fn is_isolated(&self) -> bool {
        self.is_live() && self.last_result == Some(ProbeResult::Isolated)
    }

    /// Whether the node can neither write plans nor judge targets.
    pub(crate) fn cannot_coordinate(&self) -> bool {
        self.is_cut_off() || self.is_isolated()
    }

    /// Whether the node may be advertised to callers.
    pub(crate) fn is_advertised(&self, now: TimeMs) -> bool {
        let answered_recently =
            self.last_answered_at.is_some_and(|at| now.since(at) < PROBE_VALIDITY_MS);
        self.is_live() && answered_recently
    }
}
