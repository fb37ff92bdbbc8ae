use std::net::SocketAddr;

use celeryhaven_derives::data;
use celeryhaven_types::{DataCentreName, NodeName};

data! {
    /// What a node tells the others of itself.
    #[derive(Eq)]
    pub struct NodeRecord {
        /// Its name.
        pub node: NodeName,
        /// Its data centre.
        pub data_centre: DataCentreName,
        /// Where it takes callers' requests.
        pub caller_address: SocketAddr,
        /// Where it tells whether it takes requests.
        pub ready_address: SocketAddr,
        /// Where it answers nodes that follow it.
        pub peer_address: SocketAddr,
        /// What those nodes show it; only who reads the store knows it.
        pub token: String,
        /// Tells one start of its process from the next.
        pub boot: u64,
        /// Grows while it lives.
        pub heartbeat: u64,
        /// Whether it takes requests.
        pub ready: bool,
        /// Thousandths of a core that it may use; 0 if that is not told.
        #[serde(default)]
        pub millicores: u32,
    }
}

impl NodeRecord {
    /// Class of what it can carry besides requests: nodes within a factor of two are alike.
    pub fn capacity_class(&self) -> u32 {
        self.millicores.checked_ilog2().map_or(0, |log2| log2 + 1)
    }

    /// Whether this record was written after another of the same node.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.boot, self.heartbeat) > (other.boot, other.heartbeat)
    }
}
