use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of targets that a node sends to when many nodes share the targets.
///
/// Load reports come with answers, so a node that spreads few requests over many targets has only
/// outdated reports of each.
const SUBSET_TARGETS: usize = 5;

/// Selects a stable subset of the targets that serve the same requests.
///
/// For many nodes that send to many targets. Rendezvous hashing spreads the nodes evenly over the
/// targets, and a target that is removed is replaced by one other.
///
/// ```
/// use celeryhaven_policy::TargetSubset;
///
/// let names: Vec<String> = (0..40).map(|number| format!("replica-{number}")).collect();
/// let chosen = TargetSubset::new(7).choose(&names, String::as_str);
/// assert_eq!(chosen.len(), 5);
/// // 80 nodes that each use 5 of 40 targets: 10 nodes per target.
/// assert_eq!(TargetSubset::senders_per_target(80, chosen.len(), names.len()), 10);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct TargetSubset {
    seed: u64,
}

impl TargetSubset {
    /// Creates the subset of a node; each node needs its own seed.
    pub fn new(seed: u64) -> Self {
        Self { seed }
    }

    /// Selects the targets that this node sends to, by their names.
    pub fn choose<'a, T>(&self, all: &'a [T], name: impl Fn(&T) -> &str) -> Vec<&'a T> {
        let weight = |target: &&T| xxh3_64_with_seed(name(target).as_bytes(), self.seed);
        let mut by_weight: Vec<&T> = all.iter().collect();
        by_weight.sort_by_cached_key(weight);
        by_weight.truncate(SUBSET_TARGETS);
        by_weight
    }

    /// Returns the mean number of nodes that send to the same target, if each of `nodes` selects
    /// `chosen` of `all` targets.
    pub fn senders_per_target(nodes: u32, chosen: usize, all: usize) -> u32 {
        let fraction = chosen as f64 / all.max(1) as f64;
        (f64::from(nodes) * fraction).round().max(1.0) as u32
    }
}
