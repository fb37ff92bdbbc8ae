use std::collections::BTreeSet;

use celeryhaven_types::{Map, TimeMs};

use crate::flow::Flow;
use crate::{FlowKey, QueueEntry, QueueFull};

/// Virtual time of one millisecond of cost at weight one.
const VIRTUAL_TIME_PER_MS: u64 = 1_000;

/// Weighted fair queue of keys, bounded and work-conserving.
///
/// Implements start-time fair queueing: each flow has a virtual start time that advances by cost
/// over weight with each entry taken, and the flow with the least one is served next. No flow can
/// delay the others by sending more than its share. A flow that becomes active starts at the
/// current virtual time: it neither saves up service while idle nor pays for that of others.
///
/// All operations take logarithmic time, except [`cost_ahead_ms`](Self::cost_ahead_ms), which
/// visits a bounded number of histogram buckets.
///
/// ```
/// use celeryhaven_queue::{FairQueue, FlowKey, QueueEntry};
/// use celeryhaven_types::{Priority, TimeMs};
///
/// let mut queue = FairQueue::new(10);
/// let entry = QueueEntry {
///     flow: FlowKey::new(0),
///     cost_ms: 100,
///     latest_start: TimeMs::new(5_000),
///     priority: Priority::new(0),
///     worth: 1,
///     tier: 0,
/// };
/// queue.push(7_u64, entry)?;
/// assert_eq!(queue.pop().map(|(key, _)| key), Some(7));
/// # Ok::<(), celeryhaven_queue::QueueFull>(())
/// ```
#[derive(Clone, Debug)]
pub struct FairQueue<K> {
    limit: usize,
    entries: Map<K, QueueEntry>,
    flows: Vec<Flow<K>>,
    active: BTreeSet<(u64, FlowKey)>,
    overdue: BTreeSet<(TimeMs, K)>,
    active_weight: u64,
    cost_ms: u64,
    served_ms: u64,
    virtual_now: u64,
    visits: u64,
}

impl<K: Copy + Ord + std::hash::Hash> FairQueue<K> {
    /// Creates an empty queue of at most `limit` entries.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            entries: Map::default(),
            flows: Vec::new(),
            active: BTreeSet::new(),
            overdue: BTreeSet::new(),
            active_weight: 0,
            cost_ms: 0,
            served_ms: 0,
            virtual_now: 0,
            visits: 0,
        }
    }

    /// Sets the weight of a flow; zero counts as one.
    pub fn set_weight(&mut self, flow: FlowKey, weight: u32) {
        self.ensure_flow(flow);
        let weight = u64::from(weight.max(1));
        let state = &mut self.flows[flow.get() as usize];
        if !state.is_empty() {
            self.active_weight = self.active_weight - state.weight + weight;
        }
        state.weight = weight;
    }

    /// Adds an entry, or replaces the one with the same key.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] if the queue has reached its limit.
    pub fn push(&mut self, key: K, entry: QueueEntry) -> Result<(), QueueFull> {
        if self.entries.len() >= self.limit {
            return Err(QueueFull { limit: self.limit });
        }
        self.ensure_flow(entry.flow);
        self.remove(key);
        let flow = &mut self.flows[entry.flow.get() as usize];
        if flow.is_empty() {
            flow.virtual_start = flow.virtual_start.max(self.virtual_now);
            self.active.insert((flow.virtual_start, entry.flow));
            self.active_weight += flow.weight;
            flow.served_before_ms = self.served_ms;
            flow.served_own_ms = 0;
        }
        flow.insert(key, &entry);
        self.overdue.insert((entry.latest_start, key));
        self.cost_ms += entry.cost_ms;
        self.entries.insert(key, entry);
        self.visits += 1;
        Ok(())
    }

    /// Takes the next entry of the flow that is furthest behind its share.
    pub fn pop(&mut self) -> Option<(K, QueueEntry)> {
        let &(_, flow) = self.active.first()?;
        let key = self.flows[flow.get() as usize].first()?;
        self.take(key).map(|entry| (key, entry))
    }

    /// Returns at most `count` next entries of the flow that is furthest behind its share.
    pub fn next_entries(&mut self, count: usize) -> Vec<(K, QueueEntry)> {
        let Some(&(_, flow)) = self.active.first() else { return Vec::new() };
        let keys = self.flows[flow.get() as usize].first_entries(count);
        let entries: Vec<_> =
            keys.filter_map(|key| self.entries.get(&key).map(|entry| (key, *entry))).collect();
        self.visits += entries.len() as u64;
        entries
    }

    /// Removes an entry for service and charges its flow.
    pub fn take(&mut self, key: K) -> Option<QueueEntry> {
        let entry = self.remove(key)?;
        let flow = &mut self.flows[entry.flow.get() as usize];
        self.virtual_now = self.virtual_now.max(flow.virtual_start);
        flow.served_own_ms += entry.cost_ms;
        self.served_ms += entry.cost_ms;
        self.charge(entry.flow, entry.cost_ms);
        Some(entry)
    }

    /// Removes an entry without charging its flow.
    pub fn remove(&mut self, key: K) -> Option<QueueEntry> {
        let entry = self.entries.remove(&key)?;
        let flow = &mut self.flows[entry.flow.get() as usize];
        flow.remove(key, &entry);
        self.overdue.remove(&(entry.latest_start, key));
        self.cost_ms -= entry.cost_ms;
        if flow.is_empty() {
            self.active.remove(&(flow.virtual_start, entry.flow));
            self.active_weight -= flow.weight;
        }
        self.visits += 1;
        Some(entry)
    }

    /// Charges a flow for service beyond what [`take`](Self::take) charged.
    ///
    /// Used when requests run longer than estimated, which would otherwise exceed the share of the
    /// flow.
    pub fn charge(&mut self, flow_key: FlowKey, cost_ms: u64) {
        self.ensure_flow(flow_key);
        let flow = &mut self.flows[flow_key.get() as usize];
        let was_active = self.active.remove(&(flow.virtual_start, flow_key));
        let step = cost_ms.saturating_mul(VIRTUAL_TIME_PER_MS) / flow.weight;
        flow.virtual_start = flow.virtual_start.max(self.virtual_now).saturating_add(step);
        if was_active {
            self.active.insert((flow.virtual_start, flow_key));
        }
    }

    /// The earliest latest start of all entries.
    pub fn earliest_start(&self) -> Option<TimeMs> {
        self.overdue.first().map(|&(latest_start, _)| latest_start)
    }

    /// Removes one entry whose latest start has passed.
    pub fn pop_overdue(&mut self, now: TimeMs) -> Option<(K, QueueEntry)> {
        let &(latest_start, key) = self.overdue.first()?;
        if latest_start >= now {
            return None;
        }
        self.remove(key).map(|entry| (key, entry))
    }

    /// Returns the entry of a flow that is served last.
    pub fn last_entry(&self, flow: FlowKey) -> Option<(K, QueueEntry)> {
        let key = self.flows.get(flow.get() as usize)?.last()?;
        self.entries.get(&key).map(|entry| (key, *entry))
    }

    /// Returns the entry of a flow with the least worth per cost.
    pub fn lowest_density(&self, flow: FlowKey) -> Option<(K, QueueEntry)> {
        let (_, key) = self.flows.get(flow.get() as usize)?.lowest_density()?;
        self.entries.get(&key).map(|entry| (key, *entry))
    }

    /// Returns the cost that this flow serves before such an entry.
    pub fn cost_ahead_ms(&mut self, entry: &QueueEntry) -> u64 {
        let Some(flow) = self.flows.get(entry.flow.get() as usize) else { return 0 };
        let (ahead_ms, visits) = flow.cost_ahead_ms(entry);
        self.visits += visits;
        ahead_ms
    }

    /// Total cost of all entries, in milliseconds.
    pub fn cost_ms(&self) -> u64 {
        self.cost_ms
    }

    /// Total cost of the entries of a flow, in milliseconds.
    pub fn flow_cost_ms(&self, flow: FlowKey) -> u64 {
        self.flows.get(flow.get() as usize).map_or(0, |flow| flow.cost_ms)
    }

    /// Returns the nominal share of a flow while all active flows stay active.
    pub fn share(&self, flow: FlowKey) -> f64 {
        let Some(state) = self.flows.get(flow.get() as usize) else { return 1.0 };
        let others =
            if state.is_empty() { self.active_weight + state.weight } else { self.active_weight };
        state.weight as f64 / others as f64
    }

    /// Returns the cost served from this flow, and from all flows, since this flow became active.
    ///
    /// The quotient is the observed share of the flow, which differs from [`share`](Self::share)
    /// when other flows come and go. Both are zero for an idle flow.
    pub fn served_ms(&self, flow: FlowKey) -> (u64, u64) {
        self.flows
            .get(flow.get() as usize)
            .filter(|state| !state.is_empty())
            .map_or((0, 0), |state| (state.served_own_ms, self.served_ms - state.served_before_ms))
    }

    /// Flows that have entries, in order of their virtual start times.
    pub fn active_flows(&self) -> impl Iterator<Item = FlowKey> {
        self.active.iter().map(|&(_, flow)| flow)
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of entries of a flow.
    pub fn flow_len(&self, flow: FlowKey) -> usize {
        self.flows.get(flow.get() as usize).map_or(0, Flow::len)
    }

    /// Whether the queue has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry with this key.
    pub fn get(&self, key: K) -> Option<&QueueEntry> {
        self.entries.get(&key)
    }

    /// Returns the number of entries and histogram buckets visited since the queue was created.
    pub fn visits(&self) -> u64 {
        self.visits
    }

    fn ensure_flow(&mut self, flow: FlowKey) {
        let flow_count = flow.get() as usize + 1;
        if self.flows.len() < flow_count {
            self.flows.resize_with(flow_count, Flow::new);
        }
    }
}
