use std::fmt;

use celeryhaven_derives::data;

use crate::names::{Boot, NodeName};

data! {
    /// Identifies one start of an entry VM's process; a restart has a new incarnation.
    ///
    /// ```
    /// use celeryhaven_types::{Boot, Incarnation, NodeName};
    /// let first = Incarnation::new(NodeName::new("entry-1"), Boot::new(1));
    /// let second = Incarnation::new(NodeName::new("entry-1"), Boot::new(2));
    /// assert_ne!(first, second);
    /// assert_eq!(first.to_string(), "entry-1.1");
    /// ```
    #[derive(Eq, PartialOrd, Ord, Hash)]
    #[serde(deny_unknown_fields)]
    pub struct Incarnation {
        /// The entry VM.
        pub node: NodeName,
        /// The start of its process.
        pub boot: Boot,
    }
}

impl Incarnation {
    /// Creates the incarnation of a node's process start.
    pub fn new(node: NodeName, boot: Boot) -> Self {
        Self { node, boot }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.node, self.boot)
    }
}
