use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Targets that a node sends to of those that many nodes share.
///
/// Load: loads are told with answers, so a node that spreads few requests over many targets hears of
/// each every few seconds, and knows none of them. Of five it hears each second, and the best of five
/// is nearly as good as the best of all.
const SUBSET_TARGETS: usize = 5;

/// A node's stable part of the targets that serve the same requests.
///
/// Load pattern: many nodes before many targets, near or beyond what these can do. Chosen by
/// rendezvous hash, so that nodes spread evenly and a target that is gone is replaced by one other.
///
/// ```
/// use celeryhaven_policy::TargetSubset;
///
/// let names: Vec<String> = (0..40).map(|number| format!("replica-{number}")).collect();
/// let chosen = TargetSubset::new(7).choose(&names, String::as_str);
/// assert_eq!(chosen.len(), 5);
/// // Eighty nodes that each send to one target of eight are ten at a target.
/// assert_eq!(TargetSubset::sharers(80, chosen.len(), names.len()), 10);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct TargetSubset {
    seed: u64,
}

impl TargetSubset {
    /// The subset of a node; the seed tells it from other nodes.
    pub fn new(seed: u64) -> Self {
        Self { seed }
    }

    /// The targets that this node sends to, by their names.
    pub fn choose<'a, T>(&self, all: &'a [T], name: impl Fn(&T) -> &str) -> Vec<&'a T> {
        let weight = |target: &&T| xxh3_64_with_seed(name(target).as_bytes(), self.seed);
        let mut ranked: Vec<&T> = all.iter().collect();
        ranked.sort_by_cached_key(weight);
        ranked.truncate(SUBSET_TARGETS);
        ranked
    }

    /// Nodes that send to the same target, of a number of nodes that each choose some of all.
    pub fn sharers(nodes: u32, chosen: usize, all: usize) -> u32 {
        let part = chosen as f64 / all.max(1) as f64;
        (f64::from(nodes) * part).round().max(1.0) as u32
    }
}
