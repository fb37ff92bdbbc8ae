use celeryhaven_derives::data;

data! {
    /// Durations of a lease, which must be equal for all its candidates.
    ///
    /// ```
    /// use celeryhaven_lease::LeaseSettings;
    /// let settings = LeaseSettings::default().with_ttl_ms(8_000);
    /// assert!(settings.margin_ms < settings.ttl_ms);
    /// ```
    #[derive(Copy, Eq)]
    #[serde(deny_unknown_fields, default)]
    pub struct LeaseSettings {
        /// Time without a renewal after which the lease expires.
        pub ttl_ms: u64,
        /// Time before the expiry of its last renewal at which a holder stops acting.
        ///
        /// Must cover the drift of two clocks over `ttl_ms`, and the time between a check of the
        /// lease and the guarded action.
        pub margin_ms: u64,
        /// Interval at which a holder renews.
        pub renew_every_ms: u64,
        /// Time after which the result of a call without a reply is unknown.
        pub call_timeout_ms: u64,
        /// Maximum random wait of a candidate before it acquires an expired lease.
        pub jitter_ms: u64,
        /// Extra wait of candidates in other data centres.
        pub far_delay_ms: u64,
    }
}

impl Default for LeaseSettings {
    /// `ttl_ms` covers several renewals, so that a holder keeps the lease if one write is lost.
    fn default() -> Self {
        Self {
            ttl_ms: 6_000,
            margin_ms: 1_000,
            renew_every_ms: 2_000,
            call_timeout_ms: 1_000,
            jitter_ms: 1_000,
            far_delay_ms: 3_000,
        }
    }
}

impl LeaseSettings {
    /// Sets the time without a renewal after which the lease expires.
    pub const fn with_ttl_ms(mut self, ttl_ms: u64) -> Self {
        self.ttl_ms = ttl_ms;
        self
    }

    /// Sets the time before expiry at which a holder stops acting.
    pub const fn with_margin_ms(mut self, margin_ms: u64) -> Self {
        self.margin_ms = margin_ms;
        self
    }

    /// Sets the maximum random wait before an expired lease is acquired.
    pub const fn with_jitter_ms(mut self, jitter_ms: u64) -> Self {
        self.jitter_ms = jitter_ms;
        self
    }
}
