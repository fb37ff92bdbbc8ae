use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

use crate::view::AnswerRun;

/// Time without an answer that left its connection open, after which an unlisted head receives no
/// requests, in milliseconds.
///
/// Longer than the interval between two probes and the time for an answer, and shorter than the 3 s from
/// which a target that has left receives nothing.
const UNANSWERED_MAX_MS: u64 = 2_500;

/// Interval between two probes of an unlisted target, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 2_000;

/// Time from an answer that closed its connection to the next probe, in milliseconds.
///
/// A leaving target must be known as such well within the 3 s for which it serves.
const CLOSING_PROBE_INTERVAL_MS: u64 = 500;

state! {
    /// The evidence on a target whose entry was removed while it served.
    #[derive(Copy, Eq)]
    pub struct UnlistedTarget {
        /// When the entry was removed.
        pub since: TimeMs,
        /// Its answers since then.
        pub answers: AnswerRun,
        /// Whether it has given no answer for so long that it receives no requests.
        pub is_unanswered: bool,
    }
}

impl UnlistedTarget {
    pub(crate) fn new(since: TimeMs) -> Self {
        Self { since, answers: AnswerRun::default(), is_unanswered: false }
    }

    /// Returns the time of the last answer that shows that the target goes on, or of the removal if there
    /// was none.
    ///
    /// An answer that closed its connection shows nothing alone: a target that leaves must not be kept by
    /// it for longer than by none.
    pub fn evidence_at(&self) -> TimeMs {
        self.answers.last_open_at().unwrap_or(self.since)
    }

    /// Returns when the next probe is due after one that was sent at `probed_at`.
    ///
    /// Answers to requests take the place of probes, except that a closing one is checked soon.
    pub fn next_probe_at(&self, probed_at: TimeMs) -> TimeMs {
        match self.answers.closing() {
            0 => probed_at.max(self.evidence_at()).after(PROBE_INTERVAL_MS),
            _ => probed_at.after(CLOSING_PROBE_INTERVAL_MS),
        }
    }

    pub(crate) fn has_no_answer_for(&self, now: TimeMs) -> bool {
        now.since(self.evidence_at()) >= UNANSWERED_MAX_MS
    }
}
