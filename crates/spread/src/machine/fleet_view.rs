use celeryhaven_derives::state;
use celeryhaven_types::NodeName;

state! {
    /// Another live node.
    #[derive(Eq)]
    pub struct SpreadPeer {
        /// Its name.
        pub node: NodeName,
        /// Whether it is in this node's data centre.
        pub in_same_data_centre: bool,
        /// Whether it follows the Object API for its data centre.
        pub is_relay: bool,
    }

    /// This node's view of the fleet, from membership.
    #[derive(Default)]
    pub struct FleetView {
        /// Other live nodes, by name.
        pub peers: Vec<SpreadPeer>,
        /// Whether this node follows the Object API for its data centre.
        pub is_relay: bool,
        /// Number of nodes that answer probes, including this one.
        pub answering: usize,
        /// Number of recently known nodes, whether they answer or not.
        pub known: usize,
    }
}

impl FleetView {
    /// Whether more than half of the known nodes answer.
    pub const fn is_majority(&self) -> bool {
        self.answering * 2 > self.known
    }
}
