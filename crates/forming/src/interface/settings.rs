use celeryhaven_derives::state;

state! {
    /// Timeouts and limits of a [`DomainPlanner`](crate::DomainPlanner).
    #[derive(Copy)]
    pub struct FormingSettings {
        /// Time between two attempts of an unanswered order, in milliseconds.
        pub order_retry_ms: u64,
        /// Unanswered attempts of an order after which the target counts as unreachable.
        pub order_attempts_max: u32,
        /// Time from a failed read of the record to the next read, in milliseconds.
        pub record_retry_ms: u64,
        /// Time before another coordinator's unfinished replica is adopted or dissolved, in
        /// milliseconds.
        pub adopt_after_ms: u64,
        /// Time that the target list may lag behind another coordinator's plan, in milliseconds.
        pub unlisted_plan_grace_ms: u64,
        /// Longest time from a plan to its joins, in milliseconds.
        ///
        /// Shorter than the time after which another coordinator retracts the plan.
        pub held_join_max_ms: u64,
        /// Longest time that unlisted members of an unlisted plan count as taken, in milliseconds.
        pub unlisted_plan_max_ms: u64,
        /// First pause before a target that refused to stage is asked again, in milliseconds.
        ///
        /// A target refuses while it stages another model. Each further refusal doubles the pause.
        pub stage_retry_ms: u64,
        /// Longest pause before a target that refused to stage is asked again, in milliseconds.
        pub stage_retry_max_ms: u64,
        /// Time between two probes of an unreachable target, in milliseconds.
        pub probe_interval_ms: u64,
        /// Silence of a target whose host accepts connections after which it counts as lost, in
        /// milliseconds.
        ///
        /// Engines themselves break a replica off whose member has not moved for as long.
        pub silence_max_ms: u64,
        /// Longest time to wait for a head to finish its requests, in milliseconds.
        pub drain_timeout_ms: u64,
        /// Longest time to wait for a head that is no longer listed to finish its requests, in
        /// milliseconds.
        ///
        /// Its state cannot be observed, and its members serve nothing until they leave.
        pub unlisted_drain_timeout_ms: u64,
        /// Loads that may run at once, over all domains.
        pub concurrent_loads_max: usize,
        /// Time from the start of a coordinator in which loads that its predecessors ordered may
        /// still be under way, in milliseconds.
        pub earlier_loads_ms: u64,
        /// Timeout of a formation or of a staged load, as a multiple of the model's load time.
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
            held_join_max_ms: 1_000,
            unlisted_plan_max_ms: 20_000,
            stage_retry_ms: 3_000,
            stage_retry_max_ms: 12_000,
            probe_interval_ms: 1_000,
            silence_max_ms: 4_000,
            drain_timeout_ms: 10_000,
            unlisted_drain_timeout_ms: 4_000,
            concurrent_loads_max: 2,
            earlier_loads_ms: 20_000,
            load_timeout_factor: 4,
        }
    }
}

impl FormingSettings {
    /// Sets the limit on concurrent loads.
    pub fn with_concurrent_loads(mut self, concurrent_loads: f64) -> Self {
        self.concurrent_loads_max = (concurrent_loads as usize).max(1);
        self
    }
}
