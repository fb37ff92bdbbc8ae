use celeryhaven_derives::data;
use celeryhaven_types::{DataCentreName, NodeName};

use crate::node::NodeRecord;
use crate::ranking::Ranking;

/// Relays that a starting node tries before the roots.
const RELAY_CANDIDATES: usize = 3;

data! {
    /// The relays of a large fleet, from which a starting node learns everything else.
    ///
    /// If every node read the records of all nodes from the store at its start, the bytes would grow
    /// with the square of the fleet size.
    ///
    /// ```
    /// use celeryhaven_peers::RelayDirectory;
    /// use celeryhaven_types::{DataCentreName, NodeName};
    ///
    /// let directory = RelayDirectory::default();
    /// let hall = DataCentreName::new("hall-a");
    /// assert!(directory.by_preference(&NodeName::new("entry-1"), &hall).is_empty());
    /// ```
    #[derive(Default, Eq)]
    pub struct RelayDirectory {
        /// Relays that poll the store.
        pub roots: Vec<NodeRecord>,
        /// Relays that follow the roots.
        pub relays: Vec<NodeRecord>,
    }
}

impl RelayDirectory {
    /// Returns the relays in the order in which a node should try them: those of its data centre
    /// first, in an order of its own, and the roots last.
    pub fn by_preference(&self, node: &NodeName, data_centre: &DataCentreName) -> Vec<&NodeRecord> {
        let order = Ranking::new(node.as_str());
        let mut relays: Vec<&NodeRecord> = self.relays.iter().collect();
        relays.sort_by_cached_key(|relay| {
            (relay.data_centre != *data_centre, order.weight(&relay.node))
        });
        relays.into_iter().take(RELAY_CANDIDATES).chain(&self.roots).collect()
    }

    /// Whether a node polls the store.
    pub fn is_root(&self, node: &NodeName) -> bool {
        self.roots.iter().any(|root| root.node == *node)
    }

    /// Whether other nodes follow a node.
    pub fn is_relay(&self, node: &NodeName) -> bool {
        self.is_root(node) || self.relays.iter().any(|relay| relay.node == *node)
    }
}
