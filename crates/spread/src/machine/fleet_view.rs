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

    /// What membership says of the fleet, as this node sees it.
    #[derive(Default)]
    pub struct FleetView {
        /// Other live nodes, by name.
        pub peers: Vec<SpreadPeer>,
        /// Whether this node follows the Object API for its data centre.
        pub is_relay: bool,
        /// Nodes that answer, this one included.
        pub answering: usize,
        /// Nodes known lately, answering or not.
        pub known: usize,
    }
}

impl FleetView {
    /// Whether this node sees more than half of those it knows.
    pub const fn is_majority(&self) -> bool {
        self.answering * 2 > self.known
    }
}
