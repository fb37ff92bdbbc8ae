use std::net::SocketAddr;

use celeryhaven_derives::data;
use celeryhaven_types::{DataCentreName, Incarnation, NodeName};

data! {
    /// Whether a member is about to stop.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum MemberPhase {
        /// It continues to run.
        Live,
        /// It will stop soon: it still serves, but address answers omit it.
        Leaving,
    }

    /// One boot of a node, as it describes itself.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Member {
        /// Node name and boot.
        pub incarnation: Incarnation,
        /// Address of its peer link.
        pub address: SocketAddr,
        /// Address for callers.
        pub http_address: SocketAddr,
        /// Its data centre.
        pub data_centre: DataCentreName,
        /// Whether it is about to stop.
        pub phase: MemberPhase,
    }
}

impl Member {
    /// Creates the description of a live node; its address for callers is the peer address.
    pub fn new(incarnation: Incarnation, address: SocketAddr, data_centre: DataCentreName) -> Self {
        Self { incarnation, address, http_address: address, data_centre, phase: MemberPhase::Live }
    }

    /// Sets the address for callers.
    pub fn with_http_address(mut self, http_address: SocketAddr) -> Self {
        self.http_address = http_address;
        self
    }

    /// Returns the node's name.
    pub fn node(&self) -> &NodeName {
        &self.incarnation.node
    }
}
