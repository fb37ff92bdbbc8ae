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
    }
}

impl NodeRecord {
    /// Whether this record was written after another of the same node.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.boot, self.heartbeat) > (other.boot, other.heartbeat)
    }
}
