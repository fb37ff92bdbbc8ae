use celeryhaven_derives::state;

use crate::node::NodeRecord;

state! {
    /// Source from which a node reads the store's objects, and whether it is a relay itself.
    pub struct Upstream {
        /// Relays that this node may follow, the preferred one first; none for the store itself.
        pub relays: Vec<NodeRecord>,
        /// Further nodes that may know a change while none of these sources answers.
        pub others: Vec<NodeRecord>,
        /// Whether other nodes follow this one.
        pub is_relay: bool,
        /// Whether other nodes may ask this one while their sources do not answer.
        pub is_asked: bool,
    }
}
