use std::net::SocketAddr;

use celeryhaven_peers::NodeRecord;

/// Address and token of another node, from its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PeerAddress {
    pub(crate) address: SocketAddr,
    /// Bearer token, which shows that the sender can read the store.
    pub(crate) token: String,
}

impl PeerAddress {
    pub(crate) fn of(record: &NodeRecord) -> Self {
        Self { address: record.peer_address, token: record.token.clone() }
    }
}
