use std::collections::{HashMap, HashSet};

/// A hash map with a fast, randomly seeded hasher.
///
/// Iteration order differs between runs; use a `BTreeMap` where the order matters.
pub type Map<K, V> = HashMap<K, V, foldhash::fast::RandomState>;

/// A hash set with the hasher of [`Map`].
pub type Set<K> = HashSet<K, foldhash::fast::RandomState>;
