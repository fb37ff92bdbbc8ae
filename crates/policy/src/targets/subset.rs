use xxhash_rust::xxh3::xxh3_64;

/// Number of targets that a node sends to when many nodes share the targets.
///
/// Load reports come with answers, so a node that spreads few requests over many targets has only
/// outdated reports of each.
const SUBSET_TARGETS: usize = 5;

/// Selects a stable subset of the targets that serve the same requests.
///
/// For many nodes that send to many targets. The targets form a ring, in the same order for all nodes,
/// and the nodes are spaced evenly on it by their ranks: about as many nodes send to each target.
/// A target or a node more or less moves each subset by one target at most.
///
/// If nodes selected at random, few would send to some of the targets.
///
/// ```
/// use celeryhaven_policy::TargetSubset;
///
/// let names: Vec<String> = (0..40).map(|number| format!("replica-{number}")).collect();
/// let chosen = TargetSubset::new(7, 80).choose(&names, String::as_str);
/// assert_eq!(chosen.len(), 5);
/// // 80 nodes that each use 5 of 40 targets: 10 nodes per target.
/// assert_eq!(TargetSubset::senders_per_target(80, chosen.len(), names.len()), 10);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct TargetSubset {
    rank: usize,
    nodes: usize,
    targets: usize,
}

impl TargetSubset {
    /// Creates the subset of the node with this rank among all nodes; the first has rank 0.
    pub fn new(rank: usize, nodes: usize) -> Self {
        let nodes = nodes.max(1);
        Self { rank: rank.min(nodes - 1), nodes, targets: SUBSET_TARGETS }
    }

    /// Sets the number of targets, if it is larger than the default.
    ///
    /// A node with most of the callers needs more slots than a few targets have.
    pub fn with_targets(self, targets: usize) -> Self {
        Self { targets: targets.max(SUBSET_TARGETS), ..self }
    }

    /// Selects the targets that this node sends to, by their names.
    pub fn choose<'a, T>(&self, all: &'a [T], name: impl Fn(&T) -> &str) -> Vec<&'a T> {
        let mut ring: Vec<&T> = all.iter().collect();
        ring.sort_by_cached_key(|target| {
            (xxh3_64(name(target).as_bytes()), name(target).to_owned())
        });
        let start = self.rank * ring.len() / self.nodes;
        ring.rotate_left(start);
        ring.truncate(self.targets);
        ring
    }

    /// Returns the mean number of nodes that send to the same target, if each of `nodes` selects
    /// `chosen` of `all` targets.
    pub fn senders_per_target(nodes: u32, chosen: usize, all: usize) -> u32 {
        let fraction = chosen as f64 / all.max(1) as f64;
        (f64::from(nodes) * fraction).round().max(1.0) as u32
    }
}
