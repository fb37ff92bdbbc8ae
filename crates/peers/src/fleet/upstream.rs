use celeryhaven_derives::state;

use crate::node::NodeRecord;

state! {
    /// Source from which a node reads the store's objects, and whether it is a relay itself.
    pub struct Upstream {
        /// Relay that this node follows; `None` for the store itself.
        pub relay: Option<NodeRecord>,
        /// Whether other nodes follow this one.
        pub is_relay: bool,
    }
}
