use celeryhaven_derives::state;

state! {
    /// The size of a fleet.
    #[derive(Copy)]
    pub struct FleetSize {
        /// The number of entry nodes.
        pub nodes: usize,
        /// The number of data centres.
        pub data_centres: usize,
        /// The number of replicas.
        pub replicas: usize,
        /// Requests per second of the whole fleet.
        pub requests_per_second: f64,
        /// The interval at which observers poll members, in milliseconds.
        pub poll_interval_ms: u64,
    }
}

/// VMs per replica.
pub(crate) const VMS_PER_REPLICA: usize = 4;

/// Nodes, replicas, data centres and requests per second of the planned size.
const PLANNED_SIZE: (f64, f64, usize, f64) = (340.0, 840.0, 10, 8_200.0);

/// The default of the setting `poll_interval_ms`.
const DEFAULT_POLL_INTERVAL_MS: u64 = 500;

impl FleetSize {
    /// Returns a fraction of the planned size with the same replicas and requests per node.
    pub fn part(nodes: usize) -> Self {
        let (all_nodes, replicas, data_centres, requests) = PLANNED_SIZE;
        let share = nodes as f64 / all_nodes;
        Self {
            nodes,
            data_centres: data_centres.min(nodes.div_ceil(3)),
            replicas: ((replicas * share).round() as usize).max(1),
            requests_per_second: requests * share,
            poll_interval_ms: DEFAULT_POLL_INTERVAL_MS,
        }
    }

    /// Sets the poll interval, in milliseconds.
    pub const fn with_poll_interval_ms(mut self, poll_interval_ms: u64) -> Self {
        self.poll_interval_ms = poll_interval_ms;
        self
    }
}
