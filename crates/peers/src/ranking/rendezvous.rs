use std::cmp::Reverse;
use std::collections::BTreeSet;

use celeryhaven_types::{Map, NodeName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Nodes ordered by capacity class and then by rendezvous weight for one key, highest first.
///
/// All nodes that know the same members compute the same order, and a node that joins or leaves
/// does not change the order of the others. The order is kept sorted and updated on membership
/// changes, so that a lookup needs no hashing or sorting.
///
/// See Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998. The hash is
/// XXH3, which gives the same value on every node.
///
/// ```
/// use celeryhaven_peers::Ranking;
/// use celeryhaven_types::NodeName;
///
/// let mut ranking = Ranking::new("rack-1");
/// ["entry-1", "entry-2", "entry-3"].map(|name| ranking.insert(&NodeName::new(name)));
/// let first = ranking.nodes().next().cloned().unwrap();
/// let rest: Vec<_> = ranking.nodes().skip(1).cloned().collect();
/// ranking.remove(&first);
/// assert!(ranking.nodes().eq(&rest));
/// ```
#[derive(Clone, Debug)]
pub struct Ranking {
    seed: u64,
    order: BTreeSet<(Reverse<u32>, Reverse<u64>, NodeName)>,
    capacities: Map<NodeName, u32>,
}

impl Ranking {
    /// Creates an empty ranking for a key.
    pub fn new(key: &str) -> Self {
        Self { seed: xxh3_64(key.as_bytes()), order: BTreeSet::new(), capacities: Map::default() }
    }

    /// Adds a node with capacity class 0.
    pub fn insert(&mut self, node: &NodeName) {
        self.insert_with_capacity(node, 0);
    }

    /// Adds a node with a capacity class; it precedes all nodes of a lower class.
    pub fn insert_with_capacity(&mut self, node: &NodeName, capacity: u32) {
        self.remove(node);
        self.capacities.insert(node.clone(), capacity);
        self.order.insert((Reverse(capacity), self.weight(node), node.clone()));
    }

    /// Removes a node, if present.
    pub fn remove(&mut self, node: &NodeName) {
        if let Some(capacity) = self.capacities.remove(node) {
            self.order.remove(&(Reverse(capacity), self.weight(node), node.clone()));
        }
    }

    /// Returns the nodes in order.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeName> {
        self.order.iter().map(|(.., node)| node)
    }

    /// Returns the number of nodes.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether the ranking has no nodes.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the weight by which nodes of the same capacity class are ordered.
    pub fn weight(&self, node: &NodeName) -> Reverse<u64> {
        Reverse(xxh3_64_with_seed(node.as_str().as_bytes(), self.seed))
    }
}
