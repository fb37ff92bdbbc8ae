use std::collections::BTreeMap;

use celeryhaven_types::{Map, TimeMs};

use crate::{FairQueue, FlowKey, QueueEntry, QueueFull};

/// Fair queues in strict order of their tiers, bounded together.
///
/// An entry is served once no entry of a lower tier waits. Within a tier, flows are served evenly as
/// in a [`FairQueue`]. With one tier it behaves as a single fair queue.
#[derive(Clone, Debug)]
pub struct TieredQueue<K> {
    limit: usize,
    tiers: BTreeMap<u8, FairQueue<K>>,
    tier_of: Map<K, u8>,
    weights: BTreeMap<FlowKey, u32>,
}

impl<K: Copy + Ord + std::hash::Hash> TieredQueue<K> {
    /// Creates an empty queue of at most `limit` entries.
    pub fn new(limit: usize) -> Self {
        Self { limit, tiers: BTreeMap::new(), tier_of: Map::default(), weights: BTreeMap::new() }
    }

    /// Sets the weight of a flow in all tiers; zero counts as one.
    pub fn set_weight(&mut self, flow: FlowKey, weight: u32) {
        self.weights.insert(flow, weight);
        self.tiers.values_mut().for_each(|queue| queue.set_weight(flow, weight));
    }

    /// Adds an entry to its tier, or replaces the one with the same key.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] if the queue has reached its limit.
    pub fn push(&mut self, key: K, entry: QueueEntry) -> Result<(), QueueFull> {
        if self.len() >= self.limit {
            return Err(QueueFull { limit: self.limit });
        }
        self.remove(key);
        self.tier(entry.tier).push(key, entry)?;
        self.tier_of.insert(key, entry.tier);
        Ok(())
    }

    /// Returns at most `count` next entries of the flow that is next in the first tier with entries.
    pub fn next_entries(&mut self, count: usize) -> Vec<(K, QueueEntry)> {
        let first = self.tiers.values_mut().find(|queue| !queue.is_empty());
        first.map_or_else(Vec::new, |queue| queue.next_entries(count))
    }

    /// Removes an entry for service and charges its flow.
    pub fn take(&mut self, key: K) -> Option<QueueEntry> {
        let tier = self.tier_of.remove(&key)?;
        self.tiers.get_mut(&tier)?.take(key)
    }

    /// Removes an entry without charging its flow.
    pub fn remove(&mut self, key: K) -> Option<QueueEntry> {
        let tier = self.tier_of.remove(&key)?;
        self.tiers.get_mut(&tier)?.remove(key)
    }

    /// Charges a flow for service in a tier beyond what [`take`](Self::take) charged.
    pub fn charge(&mut self, tier: u8, flow: FlowKey, cost_ms: u64) {
        self.tier(tier).charge(flow, cost_ms);
    }

    /// Removes one entry whose latest start has passed.
    pub fn pop_overdue(&mut self, now: TimeMs) -> Option<(K, QueueEntry)> {
        let tiers = self.tiers.iter();
        let earliest = tiers.filter_map(|(&tier, queue)| Some((queue.earliest_start()?, tier)));
        let (_, tier) = earliest.min()?;
        let popped = self.tiers.get_mut(&tier)?.pop_overdue(now)?;
        self.tier_of.remove(&popped.0);
        Some(popped)
    }

    /// Returns the entry of a flow that is served last in a tier.
    pub fn last_entry(&self, tier: u8, flow: FlowKey) -> Option<(K, QueueEntry)> {
        self.tiers.get(&tier)?.last_entry(flow)
    }

    /// Returns the entry of a flow in a tier with the least worth per cost.
    pub fn lowest_density(&self, tier: u8, flow: FlowKey) -> Option<(K, QueueEntry)> {
        self.tiers.get(&tier)?.lowest_density(flow)
    }

    /// Total cost of the entries of all lower tiers, in milliseconds.
    pub fn cost_before_ms(&self, tier: u8) -> u64 {
        self.tiers.range(..tier).map(|(_, queue)| queue.cost_ms()).sum()
    }

    /// Returns the fair queue of a tier.
    pub fn tier(&mut self, tier: u8) -> &mut FairQueue<K> {
        let (limit, weights) = (self.limit, &self.weights);
        self.tiers.entry(tier).or_insert_with(|| {
            let mut queue = FairQueue::new(limit);
            weights.iter().for_each(|(&flow, &weight)| queue.set_weight(flow, weight));
            queue
        })
    }

    /// Total cost of all entries, in milliseconds.
    pub fn cost_ms(&self) -> u64 {
        self.tiers.values().map(FairQueue::cost_ms).sum()
    }

    /// Tiers and flows that have entries, in order of tiers and virtual start times.
    pub fn active_flows(&self) -> impl Iterator<Item = (u8, FlowKey)> {
        self.tiers
            .iter()
            .flat_map(|(&tier, queue)| queue.active_flows().map(move |flow| (tier, flow)))
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.tier_of.len()
    }

    /// Whether the queue has no entries.
    pub fn is_empty(&self) -> bool {
        self.tier_of.is_empty()
    }

    /// Returns the number of entries and histogram buckets visited since the queue was created.
    pub fn visits(&self) -> u64 {
        self.tiers.values().map(FairQueue::visits).sum()
    }
}
