use celeryhaven_derives::number;

number! {
    /// An instant on a node's own clock, in milliseconds since an arbitrary start.
    ///
    /// Instants of different nodes are not comparable. The clock includes time during which the VM
    /// is suspended.
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
    /// Returns the instant `span_ms` later, saturating at the maximum.
    pub const fn after(self, span_ms: u64) -> Self {
        Self(self.0.saturating_add(span_ms))
    }

    /// Returns the instant `span_ms` earlier, saturating at zero.
    pub const fn before(self, span_ms: u64) -> Self {
        Self(self.0.saturating_sub(span_ms))
    }

    /// Returns the milliseconds from `earlier` to this instant, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
