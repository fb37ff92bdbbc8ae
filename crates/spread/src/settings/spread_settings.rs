use celeryhaven_derives::state;

state! {
    /// Periods and limits of the spread, in milliseconds of the node's own clock.
    #[derive(Copy, Eq)]
    pub struct SpreadSettings {
        /// How often a node asks another one what it holds.
        pub query_period_ms: u64,
        /// How long a watch waits at the Object API; a relay's evidence is at most twice as old.
        pub watch_wait_ms: u64,
        /// Age of the newest evidence at which a node stops vouching for its copy.
        pub vouch_ms: u64,
        /// Age of the newest evidence at which a node reads the Object API itself.
        pub fallback_ms: u64,
        /// First pause after a failed call of a relay; doubles up to sixteen times that.
        pub relay_retry_ms: u64,
        /// The same for a node that is no relay.
        pub fallback_retry_ms: u64,
        /// Nodes told at once of a new version.
        pub fanout: usize,
        /// Time after which a wanted object is asked of another node.
        pub fetch_timeout_ms: u64,
        /// Time in which a node must have heard another one to take an outage for everybody's.
        pub contact_timeout_ms: u64,
        /// Time after a start in which a node that knows no other waits for one.
        pub startup_wait_ms: u64,
        /// Other nodes that must hold nothing newer before a node vouches during an outage.
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
