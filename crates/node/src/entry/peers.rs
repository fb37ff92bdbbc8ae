use std::collections::BTreeMap;
use std::net::SocketAddr;

use celeryhaven_derives::state;
use celeryhaven_types::{Boot, DataCentreName, Incarnation, NodeName};

state! {
    /// Identity and address of another entry.
    pub struct PeerEntry {
        /// Its name.
        pub node: NodeName,
        /// Boot of its process; `None` if only its address is known.
        pub boot: Option<Boot>,
        /// Its data centre.
        pub data_centre: DataCentreName,
        /// Its peer address.
        pub peer_address: SocketAddr,
    }
}

/// The other entries, by node name.
#[derive(Default)]
pub(crate) struct Peers {
    by_node: BTreeMap<NodeName, PeerEntry>,
}

impl Peers {
    /// Replaces all peers.
    pub(crate) fn set(&mut self, peers: impl IntoIterator<Item = PeerEntry>) {
        self.by_node = peers.into_iter().map(|peer| (peer.node.clone(), peer)).collect();
    }

    /// Iterates over all peers in order of their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PeerEntry> {
        self.by_node.values()
    }

    /// Returns the peer address of an incarnation; `None` if its node is unknown or has another
    /// boot.
    pub(crate) fn address_of(&self, incarnation: &Incarnation) -> Option<SocketAddr> {
        let peer = self.by_node.get(&incarnation.node)?;
        let is_same = peer.boot.is_none_or(|boot| boot == incarnation.boot);
        is_same.then_some(peer.peer_address)
    }
}
