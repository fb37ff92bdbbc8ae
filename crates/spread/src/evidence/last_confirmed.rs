use celeryhaven_types::TimeMs;

/// The last time at which the Object API held nothing newer than this node's copy.
///
/// A confirmation counts from when the call or query was sent, minus the age that a peer reported.
/// A delayed answer therefore makes it appear older, never newer. A confirmation remains valid
/// when the copy moves to a newer version.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LastConfirmed {
    at: Option<TimeMs>,
}

impl LastConfirmed {
    /// Records that the copy was current at `at`.
    pub(crate) fn record(&mut self, at: TimeMs) {
        self.at = self.at.max(Some(at));
    }

    /// Returns when the copy was last confirmed.
    pub(crate) const fn at(&self) -> Option<TimeMs> {
        self.at
    }

    /// Returns the age of the last confirmation, in milliseconds.
    pub(crate) fn age_ms(&self, now: TimeMs) -> Option<u64> {
        self.at.map(|at| now.since(at))
    }

    /// Discards the confirmation, after a pause of the process.
    pub(crate) fn clear(&mut self) {
        self.at = None;
    }
}
