use std::fmt;

use celeryhaven_derives::state;
use celeryhaven_types::NodeName;

state! {
    /// Where a node reads the store's objects.
    #[derive(Eq, PartialOrd, Ord)]
    pub enum Source {
        /// The store itself.
        Store,
        /// Another node.
        Node(NodeName),
    }
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Node(node) => f.write_str(node.as_str()),
        }
    }
}
