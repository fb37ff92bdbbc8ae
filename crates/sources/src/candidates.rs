use celeryhaven_derives::state;
use celeryhaven_types::NodeName;

use crate::Source;

state! {
    /// The sources that a node may follow.
    #[derive(Default)]
    pub struct Candidates {
        /// Sources to follow, the first choice first.
        pub preferred: Vec<Source>,
        /// Further nodes, polled while none of the preferred sources answers.
        pub others: Vec<NodeName>,
        /// Whether this node may call the store if no relay answers.
        pub may_use_store: bool,
    }
}

impl Candidates {
    /// Whether a source may be followed.
    pub fn contains(&self, source: &Source) -> bool {
        match source {
            Source::Store => self.may_use_store || self.preferred.contains(source),
            Source::Node(node) => self.preferred.contains(source) || self.others.contains(node),
        }
    }

    /// Whether there is no other node to ask.
    pub fn has_store_only(&self) -> bool {
        self.others.is_empty() && self.preferred.iter().all(|source| *source == Source::Store)
    }

    /// Whether this node is to poll the store itself.
    pub fn prefers_store(&self) -> bool {
        self.preferred.first() == Some(&Source::Store)
    }
}
