use celeryhaven_derives::state;

state! {
    /// Periods, timeouts and limits; times are in milliseconds of the node's own clock.
    #[derive(Copy, Eq)]
    pub struct MembershipSettings {
        /// Time between two probes of a node.
        pub probe_period_ms: u64,
        /// Time that a probed node has to answer before indirect probes are sent.
        pub ack_timeout_ms: u64,
        /// Number of members that are asked for an indirect probe.
        pub indirect_probes: usize,
        /// Time that a suspected node has to refute before it is declared dead.
        pub suspect_ms: u64,
        /// Time for which a dead node is remembered, so that old updates do not revive it.
        pub remember_dead_ms: u64,
        /// Minimum time between two rounds of gossip.
        pub gossip_interval_ms: u64,
        /// Number of members that receive an update in a round of gossip.
        pub gossip_fanout: usize,
        /// Maximum number of updates in a message, so that it fits into one datagram.
        pub updates_per_message: usize,
        /// Gap between two ticks above which the node assumes that its process was paused.
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
