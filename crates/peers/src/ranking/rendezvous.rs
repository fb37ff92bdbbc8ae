use std::cmp::Reverse;
use std::collections::BTreeSet;

use celeryhaven_types::{Map, NodeName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Nodes in the order of their capacity and then of their rendezvous weights for one key, the heaviest
/// first.
///
/// Every node that knows the same nodes finds the same order, and where one joins or leaves the
/// others keep theirs. A weight is worked out once, when its node joins: with hundreds of nodes and
/// some tens of keys, to weigh and sort them anew at each question took more of a small VM than its
/// requests.
///
/// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998. The
/// hash is XXH3, which is the same on every node.
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
    /// An order without nodes, for a key.
    pub fn new(key: &str) -> Self {
        Self { seed: xxh3_64(key.as_bytes()), order: BTreeSet::new(), capacities: Map::default() }
    }

    /// Adds a node whose capacity does not count.
    pub fn insert(&mut self, node: &NodeName) {
        self.insert_with_capacity(node, 0);
    }

    /// Adds a node that comes before those of a smaller capacity.
    pub fn insert_with_capacity(&mut self, node: &NodeName, capacity: u32) {
        self.remove(node);
        self.capacities.insert(node.clone(), capacity);
        self.order.insert((Reverse(capacity), self.weight(node), node.clone()));
    }

    /// Removes a node, if it is there.
    pub fn remove(&mut self, node: &NodeName) {
        if let Some(capacity) = self.capacities.remove(node) {
            self.order.remove(&(Reverse(capacity), self.weight(node), node.clone()));
        }
    }

    /// The nodes in order.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeName> {
        self.order.iter().map(|(.., node)| node)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// What nodes of the same capacity are ordered by.
    pub fn weight(&self, node: &NodeName) -> Reverse<u64> {
        Reverse(xxh3_64_with_seed(node.as_str().as_bytes(), self.seed))
    }
}
