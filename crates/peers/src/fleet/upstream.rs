use celeryhaven_derives::state;

use crate::node::NodeRecord;

state! {
    /// Source from which a node reads the store's objects, and whether it is a relay itself.
    pub struct Upstream {
        /// Relays that this node may follow, the preferred one first; none for the store itself.
        pub relays: Vec<NodeRecord>,
        /// Whether other nodes follow this one.
        pub is_relay: bool,
    }
}
