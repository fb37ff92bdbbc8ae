use std::net::SocketAddr;

use celeryhaven_derives::data;
use celeryhaven_types::{DataCentreName, NodeName};

data! {
    /// Record that a node publishes about itself in the store.
    #[derive(Eq)]
    pub struct NodeRecord {
        /// Name of the node.
        pub node: NodeName,
        /// Data centre of the node.
        pub data_centre: DataCentreName,
        /// Address for callers' requests.
        pub caller_address: SocketAddr,
        /// Address of the readiness endpoint.
        pub ready_address: SocketAddr,
        /// Address for requests of other nodes.
        pub peer_address: SocketAddr,
        /// Bearer token that other nodes present; only readers of the store know it.
        pub token: String,
        /// Number of this start of the process, higher than that of the start before.
        pub boot: u64,
        /// Counter that increases with each heartbeat.
        pub heartbeat: u64,
        /// Whether the node accepts requests.
        pub ready: bool,
        /// Available processor time in thousandths of a core; 0 if unknown.
        #[serde(default)]
        pub millicores: u32,
    }
}

impl NodeRecord {
    /// Returns the node's capacity class: the bit length of its millicores.
    ///
    /// Nodes within a factor of two are treated as equal when relays are ordered.
    pub fn capacity_class(&self) -> u32 {
        self.millicores.checked_ilog2().map_or(0, |log2| log2 + 1)
    }

    /// Whether this record was written after another one of the same node.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.boot, self.heartbeat) > (other.boot, other.heartbeat)
    }
}
