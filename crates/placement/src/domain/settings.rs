use celeryhaven_derives::data;

data! {
    /// Durations and limits of placement.
    #[derive(Copy, Eq)]
    #[serde(deny_unknown_fields, default)]
    pub struct PlacementSettings {
        /// Time without contact after which a member counts as lost.
        ///
        /// Long enough to ride out short pauses and lost packets, since a new formation takes far
        /// longer. Entries stop routing to a silent member much earlier.
        pub silent_ms: u64,
        /// Time for which a member report is valid.
        pub report_life_ms: u64,
        /// Time after its decision within which an order may be started.
        pub order_life_ms: u64,
        /// Time within which all entries learn that a replica is draining.
        pub drain_settle_ms: u64,
        /// Time after which a draining replica is stopped, even with requests running.
        pub drain_max_ms: u64,
        /// Maximum number of replicas of a fabric domain that form at the same time.
        ///
        /// The weights store is rate-limited. After an outage of a whole domain, a low limit brings
        /// the highest priorities back first; too low a limit leaves part of the rate unused.
        pub forming_at_once: u32,
        /// Time without progress after which a formation is restarted.
        pub forming_stuck_ms: u64,
        /// Time that a shortage must last before a replica of lower priority is preempted.
        ///
        /// Most missing VMs are back by then.
        pub break_after_ms: u64,
        /// Expected time until a missing VM returns, beyond `break_after_ms`.
        pub expected_return_ms: u64,
        /// Rate of the weights store, to estimate the duration of a formation.
        pub weights_rate_bytes_per_s: u64,
        /// Duration of a formation beside loading.
        pub joining_ms: u64,
        /// Number of restarts within `unsteady_ms` that make a VM unsteady.
        ///
        /// An unsteady member that restarts is replaced by a spare.
        pub unsteady_restarts: u32,
        /// Window in which restarts of a VM are counted.
        pub unsteady_ms: u64,
        /// Minimum gain of preemption over waiting, in percent of the cost of preemption.
        ///
        /// Both costs are estimates; the margin keeps small errors from moving replicas repeatedly.
        pub break_gain_percent: u32,
    }
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            silent_ms: 2_500,
            report_life_ms: 1_500,
            order_life_ms: 2_000,
            drain_settle_ms: 4_000,
            drain_max_ms: 600_000,
            forming_at_once: 2,
            forming_stuck_ms: 120_000,
            break_after_ms: 15_000,
            expected_return_ms: 120_000,
            weights_rate_bytes_per_s: 4_000_000_000,
            joining_ms: 5_000,
            unsteady_restarts: 2,
            unsteady_ms: 600_000,
            break_gain_percent: 10,
        }
    }
}

impl PlacementSettings {
    /// Sets the time without contact after which a member counts as lost.
    pub const fn with_silent_ms(mut self, silent_ms: u64) -> Self {
        self.silent_ms = silent_ms;
        self
    }

    /// Sets the maximum number of replicas that form at the same time.
    pub const fn with_forming_at_once(mut self, forming_at_once: u32) -> Self {
        self.forming_at_once = forming_at_once;
        self
    }

    /// Sets the rate of the weights store.
    pub const fn with_weights_rate_bytes_per_s(mut self, weights_rate_bytes_per_s: u64) -> Self {
        self.weights_rate_bytes_per_s = weights_rate_bytes_per_s;
        self
    }

    /// Sets the time that a shortage must last before a replica is preempted.
    pub const fn with_break_after_ms(mut self, break_after_ms: u64) -> Self {
        self.break_after_ms = break_after_ms;
        self
    }

    /// Sets the minimum gain of preemption; a very large one disables it.
    pub const fn with_break_gain_percent(mut self, break_gain_percent: u32) -> Self {
        self.break_gain_percent = break_gain_percent;
        self
    }

    /// Sets the number of restarts that make a VM unsteady.
    pub const fn with_unsteady_restarts(mut self, unsteady_restarts: u32) -> Self {
        self.unsteady_restarts = unsteady_restarts;
        self
    }

    /// Sets the time after its decision within which an order may be started.
    pub const fn with_order_life_ms(mut self, order_life_ms: u64) -> Self {
        self.order_life_ms = order_life_ms;
        self
    }
}
