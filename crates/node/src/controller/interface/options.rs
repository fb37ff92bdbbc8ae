use celeryhaven_derives::state;
use celeryhaven_lease::LeaseSettings;
use celeryhaven_placement::PlacementSettings;

state! {
    /// Intervals, timeouts and limits of a controller.
    #[derive(Copy)]
    pub struct ControllerOptions {
        /// Lease timings.
        pub lease: LeaseSettings,
        /// Placement timings and limits.
        pub placement: PlacementSettings,
        /// Interval at which timers are processed, in milliseconds.
        pub tick_ms: u64,
        /// Interval at which all leases are listed, in milliseconds.
        ///
        /// An expired lease is detected up to this much later than its `ttl_ms`.
        pub leases_interval_ms: u64,
        /// Interval at which a holder reads the configuration and the allocation, in milliseconds.
        pub config_interval_ms: u64,
        /// Interval at which the holder of the allocation lists all placements, in milliseconds.
        pub placements_interval_ms: u64,
        /// Interval at which the VM list is read, in milliseconds.
        pub vm_list_interval_ms: u64,
        /// Interval at which each member of a held domain is polled, in milliseconds.
        pub poll_interval_ms: u64,
        /// Delay before an unanswered order is resent, in milliseconds.
        pub order_retry_ms: u64,
        /// Delay before an accepted order without an effect in reports is reissued, in
        /// milliseconds.
        pub order_effect_timeout_ms: u64,
        /// Timeout of a call of the Object API, after which its outcome is unknown, in
        /// milliseconds.
        pub store_timeout_ms: u64,
        /// Timeout of an operator request, in milliseconds; less than the timeout of the operators'
        /// command.
        pub operator_timeout_ms: u64,
        /// Minimum interval between writes of a domain's health record, in milliseconds.
        pub health_interval_ms: u64,
        /// Age from which a data centre's status is stale, in milliseconds; changes are then
        /// refused unless the operator names the data centre.
        pub status_max_age_ms: u64,
        /// Added delay before taking an expired lease, per lease already held, in milliseconds.
        ///
        /// Spreads leases over controllers.
        pub handicap_per_lease_ms: u64,
        /// How long a fabric domain that has lost VMs keeps its share of replicas, in milliseconds.
        ///
        /// Moving a replica to another domain costs a full load, and most missing VMs are soon
        /// restarted or replaced.
        pub capacity_hold_ms: u64,
    }
}

impl Default for ControllerOptions {
    fn default() -> Self {
        Self {
            lease: LeaseSettings::default(),
            placement: PlacementSettings::default(),
            tick_ms: 100,
            leases_interval_ms: 2_000,
            config_interval_ms: 1_000,
            placements_interval_ms: 2_000,
            vm_list_interval_ms: 2_000,
            poll_interval_ms: 500,
            order_retry_ms: 1_000,
            order_effect_timeout_ms: 3_000,
            store_timeout_ms: 2_000,
            operator_timeout_ms: 6_000,
            health_interval_ms: 5_000,
            status_max_age_ms: 30_000,
            handicap_per_lease_ms: 400,
            capacity_hold_ms: 60_000,
        }
    }
}

impl ControllerOptions {
    /// Sets the lease timings.
    pub const fn with_lease(mut self, lease: LeaseSettings) -> Self {
        self.lease = lease;
        self
    }

    /// Sets the placement timings and limits.
    pub const fn with_placement(mut self, placement: PlacementSettings) -> Self {
        self.placement = placement;
        self
    }

    /// Sets the interval at which the VM list is read, in milliseconds.
    pub const fn with_vm_list_interval_ms(mut self, vm_list_interval_ms: u64) -> Self {
        self.vm_list_interval_ms = vm_list_interval_ms;
        self
    }

    /// Sets the interval at which each member of a held domain is polled, in milliseconds.
    pub const fn with_poll_interval_ms(mut self, poll_interval_ms: u64) -> Self {
        self.poll_interval_ms = poll_interval_ms;
        self
    }

    /// Sets the timeout of a call of the Object API, in milliseconds.
    pub const fn with_store_timeout_ms(mut self, store_timeout_ms: u64) -> Self {
        self.store_timeout_ms = store_timeout_ms;
        self
    }
}
