use std::net::SocketAddr;

use celeryhaven_derives::state;
use celeryhaven_types::NodeName;

state! {
    /// A peer to which requests may be delegated.
    #[derive(Eq)]
    pub struct Peer {
        /// Name of the node.
        pub node: NodeName,
        /// Address for requests.
        pub address: SocketAddr,
        /// Bearer token of the node.
        pub token: String,
        /// Whether the node has said that it is isolated as well.
        pub is_isolated: bool,
    }
}
