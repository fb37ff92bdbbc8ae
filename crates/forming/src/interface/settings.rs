use celeryhaven_derives::state;

state! {
    /// Spans and limits of a decider.
    #[derive(Copy)]
    pub struct FormingSettings {
        /// Time between two tries of an order without an answer, in milliseconds.
        ///
        /// Several times what a sound target takes to answer.
        pub order_retry_ms: u64,
        /// Tries of one join without an answer, after which the target counts as unreachable.
        pub order_attempts_max: u32,
        /// Time from a read of the record that failed to the next, in milliseconds.
        ///
        /// As long as a feed pauses, and as short as what a caller would notice of a late plan.
        pub record_retry_ms: u64,
        /// How long another decider's unfinished replica is left alone, in milliseconds.
        ///
        /// A live decider opens a ready replica within some hundred milliseconds.
        pub adopt_after_ms: u64,
        /// How long the list may take to show another decider's plan, in milliseconds.
        ///
        /// Joins follow the plan within some tens of milliseconds; a second covers a list that lags.
        pub unlisted_plan_grace_ms: u64,
        /// How long members of such a plan that nobody lists count as taken, in milliseconds.
        pub unlisted_plan_max_ms: u64,
        /// How long a target that refused to stage is left alone, in milliseconds.
        ///
        /// It mostly still stages for an earlier decider, which takes many seconds, and
        /// without a pause it would be asked at each step.
        pub stage_retry_ms: u64,
        /// Longest time that one which has refused to stage again and again is left alone, in
        /// milliseconds.
        ///
        /// As long as a load takes; each refusal before doubles the pause.
        pub stage_retry_max_ms: u64,
        /// Time between two probes of an unreachable target, in milliseconds.
        pub probe_interval_ms: u64,
        /// Longest time that a leaving member is waited for, in milliseconds.
        pub drain_timeout_ms: u64,
        /// Longest time that the work of a head which is not listed any more is waited for, in
        /// milliseconds.
        ///
        /// No node sends it more, and three answers of four end within two seconds; its state cannot
        /// be seen, and its members serve nobody until they leave.
        pub unlisted_drain_timeout_ms: u64,
        /// Loads from the weights store that this domain may begin each second.
        pub loads_per_s: f64,
        /// Loads of all domains that may be under way at once.
        pub concurrent_loads_max: usize,
        /// Loads that may be saved up.
        pub load_burst_max: f64,
        /// Times of its expected load that a formation may take.
        pub load_timeout_factor: u64,
    }
}

impl Default for FormingSettings {
    fn default() -> Self {
        Self {
            order_retry_ms: 300,
            order_attempts_max: 4,
            record_retry_ms: 500,
            adopt_after_ms: 1_500,
            unlisted_plan_grace_ms: 1_500,
            unlisted_plan_max_ms: 20_000,
            stage_retry_ms: 3_000,
            stage_retry_max_ms: 12_000,
            probe_interval_ms: 1_000,
            drain_timeout_ms: 10_000,
            unlisted_drain_timeout_ms: 4_000,
            loads_per_s: 0.75,
            concurrent_loads_max: 2,
            load_burst_max: 4.0,
            load_timeout_factor: 4,
        }
    }
}

impl FormingSettings {
    /// Spreads the loads that may start over all domains, and keeps how many may run side by side.
    ///
    /// Load: a fabric domain returns, or many empty targets come. Harm: beyond its rate the weights
    /// store makes every load slower, also those that mend a replica. Limit: nine tenths of the
    /// rate, since deciders cannot see each other's last second.
    pub fn with_load_limits(
        mut self,
        loads_per_s: f64,
        loads_at_once: f64,
        domains: usize,
    ) -> Self {
        let domains = domains.max(1) as f64;
        self.loads_per_s = loads_per_s * 0.9 / domains;
        self.concurrent_loads_max = (loads_at_once as usize).max(1);
        self
    }
}
