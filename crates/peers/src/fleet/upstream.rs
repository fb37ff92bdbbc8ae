use celeryhaven_derives::state;

use crate::node::NodeRecord;

state! {
    /// Whom a node asks for what the store holds, and whether others ask it.
    pub struct Upstream {
        /// Whom it asks; `None` for the store itself.
        pub relay: Option<NodeRecord>,
        /// Whether other nodes follow it.
        pub is_relay: bool,
    }
}
