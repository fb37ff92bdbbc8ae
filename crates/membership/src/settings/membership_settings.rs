use celeryhaven_derives::state;

state! {
    /// Periods and timeouts of membership, all in milliseconds of the node's own clock.
    #[derive(Copy, Eq)]
    pub struct MembershipSettings {
        /// Time between two probes. A shorter one finds failures sooner and costs each node two
        /// messages more a second.
        pub probe_period_ms: u64,
        /// Time a probed node has to answer before others are asked to probe it.
        pub ack_timeout_ms: u64,
        /// How many others are asked.
        pub indirect_probes: usize,
        /// Time a suspected node has to refute.
        pub suspect_ms: u64,
        /// Time a dead node is remembered, so that old rumours do not revive it.
        pub remember_dead_ms: u64,
        /// Least time between two sends of fresh news.
        pub gossip_interval_ms: u64,
        /// Members that fresh news is sent to at once, beside what probes carry.
        pub gossip_fanout: usize,
        /// Rumours in one message at most; bounds the message to one datagram.
        pub updates_per_message: usize,
        /// A gap between two ticks after which the node takes itself for the one that was away.
        pub own_pause_ms: u64,
    }
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_period_ms: 1_000,
            ack_timeout_ms: 300,
            indirect_probes: 3,
            suspect_ms: 3_000,
            remember_dead_ms: 600_000,
            gossip_interval_ms: 200,
            gossip_fanout: 2,
            updates_per_message: 8,
            own_pause_ms: 1_500,
        }
    }
}
