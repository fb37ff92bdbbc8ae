use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_derives::number;

use crate::QueueEntry;

number! {
    /// Identifies a flow of a queue.
    FlowKey(u32)
}

/// Width of a bucket of the cost histogram, in milliseconds.
const COST_BUCKET_MS: u64 = 500;

/// Buckets visited before all entries of the flow are counted as ahead.
const COST_BUCKETS_VISITED_MAX: usize = 128;

/// The entries of one flow, ordered by sort key.
#[derive(Clone, Debug)]
pub(crate) struct Flow<K> {
    pub(crate) weight: u64,
    pub(crate) virtual_start: u64,
    pub(crate) cost_ms: u64,
    /// Cost served by the queue when this flow became active, and from this flow since.
    pub(crate) served_before_ms: u64,
    pub(crate) served_own_ms: u64,
    by_sort_key: BTreeSet<(u64, K)>,
    by_density: BTreeSet<(u64, K)>,
    cost_histogram: BTreeMap<u64, u64>,
}

impl<K: Copy + Ord> Flow<K> {
    pub(crate) fn new() -> Self {
        Self {
            weight: 1,
            virtual_start: 0,
            cost_ms: 0,
            served_before_ms: 0,
            served_own_ms: 0,
            by_sort_key: BTreeSet::new(),
            by_density: BTreeSet::new(),
            cost_histogram: BTreeMap::new(),
        }
    }

    pub(crate) fn insert(&mut self, key: K, entry: &QueueEntry) {
        self.by_sort_key.insert((entry.sort_key(), key));
        self.by_density.insert((entry.density(), key));
        self.cost_ms += entry.cost_ms;
        *self.cost_histogram.entry(bucket(entry)).or_insert(0) += entry.cost_ms;
    }

    pub(crate) fn remove(&mut self, key: K, entry: &QueueEntry) {
        self.by_sort_key.remove(&(entry.sort_key(), key));
        self.by_density.remove(&(entry.density(), key));
        self.cost_ms -= entry.cost_ms;
        if let Some(cost_ms) = self.cost_histogram.get_mut(&bucket(entry)) {
            *cost_ms -= entry.cost_ms;
            if *cost_ms == 0 {
                self.cost_histogram.remove(&bucket(entry));
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_sort_key.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_sort_key.len()
    }

    pub(crate) fn first(&self) -> Option<K> {
        self.by_sort_key.first().map(|&(_, key)| key)
    }

    pub(crate) fn first_entries(&self, count: usize) -> impl Iterator<Item = K> {
        self.by_sort_key.iter().take(count).map(|&(_, key)| key)
    }

    pub(crate) fn last(&self) -> Option<K> {
        self.by_sort_key.last().map(|&(_, key)| key)
    }

    pub(crate) fn lowest_density(&self) -> Option<(u64, K)> {
        self.by_density.first().copied()
    }

    /// Returns the cost ahead of an entry, and the number of buckets visited.
    pub(crate) fn cost_ahead_ms(&self, entry: &QueueEntry) -> (u64, u64) {
        let last_bucket = bucket(entry);
        let mut ahead_ms = 0;
        let mut visits = 0;
        for (_, &cost_ms) in
            self.cost_histogram.range(..=last_bucket).take(COST_BUCKETS_VISITED_MAX)
        {
            ahead_ms += cost_ms;
            visits += 1;
        }
        if visits as usize == COST_BUCKETS_VISITED_MAX {
            (self.cost_ms, visits)
        } else {
            (ahead_ms, visits)
        }
    }
}

fn bucket(entry: &QueueEntry) -> u64 {
    entry.sort_key() / COST_BUCKET_MS
}
