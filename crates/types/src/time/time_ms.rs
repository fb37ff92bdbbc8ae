use celeryhaven_derives::number;

number! {
    /// An instant on one node's own clock, in milliseconds since an arbitrary start.
    ///
    /// Two nodes' instants are never compared. The driver reads a clock that also counts time
    /// spent suspended, so that a VM that wakes from a pause sees the pause.
    ///
    /// ```
    /// use celeryhaven_types::TimeMs;
    /// let start = TimeMs::new(1_000);
    /// assert_eq!(start.after(250).since(start), 250);
    /// assert_eq!(start.since(start.after(250)), 0);
    /// ```
    TimeMs(u64)
}

impl TimeMs {
    /// The instant `span_ms` later.
    pub const fn after(self, span_ms: u64) -> Self {
        Self(self.0.saturating_add(span_ms))
    }

    /// The instant this many milliseconds earlier, but not before the first one.
    pub const fn before(self, span_ms: u64) -> Self {
        Self(self.0.saturating_sub(span_ms))
    }

    /// Milliseconds from `earlier` to this instant, zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
