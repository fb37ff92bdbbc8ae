use celeryhaven_derives::state;

state! {
    /// Periods and limits; times are in milliseconds of the node's own clock.
    #[derive(Copy, Eq)]
    pub struct SpreadSettings {
        /// Period in which a node queries a peer for its summary.
        pub query_period_ms: u64,
        /// How long a watch waits at the Object API for a change.
        pub watch_wait_ms: u64,
        /// Age of the last confirmation after which a node no longer confirms its copy.
        pub vouch_ms: u64,
        /// Age of the last confirmation after which a node calls the Object API itself.
        pub fallback_ms: u64,
        /// First retry delay after a failed call of a relay; doubles up to sixteen times that.
        pub relay_retry_ms: u64,
        /// First retry delay after a failed call of a node that is not a relay.
        pub fallback_retry_ms: u64,
        /// Number of nodes that are notified immediately of a new version.
        pub fanout: usize,
        /// Time after which a requested object is requested from another node.
        pub fetch_timeout_ms: u64,
        /// Time since the last message of a peer within which an outage may count as fleet-wide.
        pub contact_timeout_ms: u64,
        /// Time after its start that a node without peers waits for one.
        pub startup_wait_ms: u64,
        /// Number of other nodes that must hold nothing newer before a node confirms its copy
        /// during an outage.
        pub confirmations: usize,
    }
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            query_period_ms: 1_000,
            watch_wait_ms: 1_000,
            vouch_ms: 6_000,
            fallback_ms: 3_500,
            relay_retry_ms: 250,
            fallback_retry_ms: 2_000,
            fanout: 3,
            fetch_timeout_ms: 250,
            contact_timeout_ms: 3_000,
            startup_wait_ms: 3_000,
            confirmations: 3,
        }
    }
}
