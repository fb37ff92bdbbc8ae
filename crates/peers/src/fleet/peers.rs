use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::{DataCentreName, DomainName, Map, NodeName, TimeMs};

use crate::fleet::node_state::NodeState;
use crate::fleet::{RelayDirectory, Upstream};
use crate::node::{NodeRecord, ProbeResult};
use crate::ranking::Ranking;

/// Heartbeats that a record may miss before its node is removed, and the age of a stale read in
/// milliseconds.
const HEARTBEATS_MISSED_MAX: u64 = 2;
const STALE_READ_MS: u64 = 4_000;

/// Shortest interval between two heartbeats of one node, and the interval per node of the fleet, in
/// milliseconds.
///
/// The interval grows with the fleet, so that all nodes together write about three records per
/// second.
const HEARTBEAT_MS_MIN: u64 = 3_000;
const HEARTBEAT_MS_PER_NODE: u64 = 300;

/// Nodes per relay, which limits the followers of one relay.
const NODES_PER_RELAY: usize = 20;

/// Relays that poll the store; where there are more relays, the others follow these.
///
/// Two roots tolerate the loss of one without raising the number of store calls with the fleet
/// size.
const ROOT_RELAYS: usize = 2;

/// Relays that a node tries one after the other before it polls the store itself.
const RELAY_CANDIDATES: usize = 3;

/// Further nodes that a node asks while no relay answers.
const OTHERS_MAX: usize = 12;

/// Nodes of a data centre that keep what they know for others where not all nodes do.
const ASKED_NODES_MIN: usize = 6;

/// Rendezvous key for the order of relays.
const RELAY_KEY: &str = "relay";

/// Fleet size below which every node polls the store.
const RELAYED_FLEET_NODES_MIN: usize = 5;

/// Nodes that one node probes for its address answers.
///
/// Probing all nodes from all nodes would grow with the square of the fleet size. They are chosen
/// by rendezvous hash, so that every node is advertised by some and no caller gets only a few
/// addresses.
const PROBED_NODES_MAX: usize = 10;

/// Standby coordinators of a domain, which probe the candidates that precede them.
///
/// Several standbys keep a domain coordinated while the store rejects the calls of some nodes.
/// Where the store rejects a third of the nodes, all of the first three candidates are rejected in
/// one case of 25, of the first seven in one of 1,500.
const STANDBY_COORDINATORS: usize = 6;

/// The other nodes of the fleet, derived from their records and probes.
///
/// ```
/// use celeryhaven_peers::Peers;
/// use celeryhaven_types::{DomainName, NodeName};
///
/// let mut peers = Peers::new(NodeName::new("entry-1"));
/// let domain = DomainName::new("rack-1");
/// peers.set_domains([&domain]);
/// // A node that knows no other nodes coordinates every domain.
/// assert!(peers.is_coordinator(&domain, false));
/// ```
#[derive(Clone, Debug)]
pub struct Peers {
    own: NodeName,
    own_record: Option<NodeRecord>,
    nodes: BTreeMap<NodeName, NodeState>,
    /// Number of live nodes, and of live nodes that have store access.
    live_count: usize,
    store_access_count: usize,
    /// Number of live nodes that have lost their links to targets.
    isolated_count: usize,
    unprobed_count: usize,
    /// Number of nodes that others may follow.
    relay_capable_count: usize,
    /// All other nodes, in the order in which this node probes them.
    probe_order: Ranking,
    /// Data centre of this node; if `None`, all nodes are treated as in the same one.
    data_centre: Option<DataCentreName>,
    capacity_class: u32,
    /// Ready nodes, including this one, in relay order: of the fleet and of this data centre.
    relays: Ranking,
    near_relays: Ranking,
    /// Ready nodes, including this one, in coordinator order for each domain.
    coordinators: Map<DomainName, Ranking>,
}

impl Peers {
    /// Creates a view without other nodes.
    pub fn new(own: NodeName) -> Self {
        let mut relays = Ranking::new(RELAY_KEY);
        relays.insert(&own);
        let near_relays = relays.clone();
        let probe_order = Ranking::new(own.as_str());
        Self {
            own,
            own_record: None,
            nodes: BTreeMap::new(),
            live_count: 0,
            store_access_count: 0,
            isolated_count: 0,
            unprobed_count: 0,
            relay_capable_count: 0,
            probe_order,
            data_centre: None,
            capacity_class: 0,
            relays,
            near_relays,
            coordinators: Map::default(),
        }
    }

    /// Sets this node's data centre and capacity class from its record.
    pub fn with_own_record(mut self, record: &NodeRecord) -> Self {
        self.own_record = Some(record.clone());
        self.data_centre = Some(record.data_centre.clone());
        self.capacity_class = record.capacity_class();
        self.relays.insert_with_capacity(&self.own, self.capacity_class);
        self.near_relays.insert_with_capacity(&self.own, self.capacity_class);
        self
    }

    /// Applies the records of all nodes and removes nodes whose record has expired.
    ///
    /// Returns whether a node was added, removed or changed in anything but its heartbeat.
    pub fn apply_records(&mut self, now: TimeMs, records: Vec<NodeRecord>) -> bool {
        let changed_any = records
            .into_iter()
            .fold(false, |changed, record| changed | self.apply_record(now, record));
        changed_any | self.expire(now)
    }

    /// Applies a complete list of records; a node that is not listed is removed.
    pub fn replace_records(&mut self, now: TimeMs, records: Vec<NodeRecord>) -> bool {
        let listed: BTreeSet<&NodeName> = records.iter().map(|record| &record.node).collect();
        let missing = self.nodes.keys().filter(|node| !listed.contains(node));
        let missing: Vec<NodeName> = missing.cloned().collect();
        missing.iter().for_each(|node| self.remove(node));
        self.apply_records(now, records) | !missing.is_empty()
    }

    /// Removes a node whose record is gone; returns whether it was known.
    pub fn remove_record(&mut self, node: &NodeName) -> bool {
        let is_known = self.nodes.contains_key(node);
        self.remove(node);
        is_known
    }

    fn apply_record(&mut self, now: TimeMs, record: NodeRecord) -> bool {
        if record.node == self.own {
            return false;
        }
        let node = record.node.clone();
        let Some(before) = self.nodes.get_mut(&node) else {
            self.insert(NodeState::new(now, record));
            return true;
        };
        if !record.is_newer_than(&before.record) {
            return false;
        }
        before.changed_at = now;
        let same = NodeRecord { heartbeat: before.record.heartbeat, ..record.clone() };
        if same == before.record {
            before.record = record;
            return false;
        }
        if let Some(mut state) = self.nodes.remove(&node) {
            self.update_counts(&state, false);
            state.set_record(record.clone());
            self.update_counts(&state, true);
            self.nodes.insert(node, state);
        }
        self.update_rankings(&record);
        true
    }

    /// Removes nodes whose heartbeat has not changed within its lifetime; returns whether there
    /// were any.
    fn expire(&mut self, now: TimeMs) -> bool {
        let lifetime_ms =
            STALE_READ_MS + HEARTBEATS_MISSED_MAX * heartbeat_interval_ms(self.nodes.len() as u64);
        let expired =
            self.nodes.values().filter(|state| now.since(state.changed_at) >= lifetime_ms);
        let expired: Vec<NodeName> = expired.map(|state| state.record.node.clone()).collect();
        expired.iter().for_each(|node| self.remove(node));
        !expired.is_empty()
    }

    fn insert(&mut self, state: NodeState) {
        let record = state.record.clone();
        self.update_counts(&state, true);
        self.nodes.insert(record.node.clone(), state);
        self.probe_order.insert(&record.node);
        self.update_rankings(&record);
    }

    fn remove(&mut self, node: &NodeName) {
        let Some(state) = self.nodes.remove(node) else { return };
        self.update_counts(&state, false);
        self.probe_order.remove(node);
        self.update_rankings(&NodeRecord { ready: false, ..state.record });
    }

    /// Adds a node to the counters, or subtracts it.
    fn update_counts(&mut self, state: &NodeState, is_in: bool) {
        let counted = [
            (&mut self.live_count, state.is_live()),
            (&mut self.store_access_count, state.has_store_access()),
            (&mut self.isolated_count, state.is_isolated()),
            (&mut self.unprobed_count, state.is_unprobed()),
            (&mut self.relay_capable_count, state.may_relay()),
        ];
        for (counter, is_counted) in counted {
            match is_in {
                true => *counter += usize::from(is_counted),
                false => *counter -= usize::from(is_counted),
            }
        }
    }

    /// Adds a ready node to the rankings, or removes one that is not ready.
    fn update_rankings(&mut self, record: &NodeRecord) {
        let (node, capacity_class) = (&record.node, record.capacity_class());
        let is_near = self.data_centre.as_ref().is_none_or(|own| *own == record.data_centre);
        let near_ranking = is_near.then_some(&mut self.near_relays);
        for ranking in near_ranking.into_iter().chain([&mut self.relays]) {
            match record.ready {
                true => ranking.insert_with_capacity(node, capacity_class),
                false => ranking.remove(node),
            }
        }
        for ranking in self.coordinators.values_mut() {
            match record.ready {
                true => ranking.insert(node),
                false => ranking.remove(node),
            }
        }
    }

    /// Replaces the set of domains for which coordinators are ranked.
    pub fn set_domains<'a>(&mut self, domains: impl IntoIterator<Item = &'a DomainName>) {
        let domains: BTreeSet<&DomainName> = domains.into_iter().collect();
        self.coordinators.retain(|domain, _| domains.contains(domain));
        for domain in domains {
            if self.coordinators.contains_key(domain) {
                continue;
            }
            let mut ranking = Ranking::new(domain.as_str());
            self.relays.nodes().for_each(|node| ranking.insert(node));
            self.coordinators.insert(domain.clone(), ranking);
        }
    }

    /// Records a probe result; returns whether the node's liveness or store access has changed.
    pub fn record_probe(&mut self, now: TimeMs, node: &NodeName, result: ProbeResult) -> bool {
        let Some(mut state) = self.nodes.remove(node) else { return false };
        let status = |state: &NodeState| {
            let access = (state.has_store_access(), state.is_cut_off(), state.is_isolated());
            (state.is_live(), access, state.may_relay())
        };
        let before = status(&state);
        self.update_counts(&state, false);
        state.record_probe(now, result);
        self.update_counts(&state, true);
        let changed = before != status(&state);
        self.nodes.insert(node.clone(), state);
        changed
    }

    /// Whether any node has not been probed yet.
    pub fn has_unprobed(&self) -> bool {
        self.unprobed_count > 0
    }

    /// Returns the number of other nodes that are assumed to be live and to accept requests.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Returns the number of other live nodes that send requests to targets.
    pub fn sender_count(&self) -> usize {
        self.live_count - self.isolated_count
    }

    /// Whether another node has store access, according to the last probes.
    pub fn any_has_store_access(&self) -> bool {
        self.store_access_count > 0
    }

    /// Returns the names of the other nodes that have a record.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeName> {
        self.nodes.keys()
    }

    /// Returns the record of a node.
    pub fn record(&self, node: &NodeName) -> Option<&NodeRecord> {
        self.nodes.get(node).map(|state| &state.record)
    }

    /// Returns the nodes to advertise to callers: probed nodes that answered recently, and whether
    /// each has lost its links to targets.
    pub fn advertised(&self, now: TimeMs) -> impl Iterator<Item = (&NodeRecord, bool)> {
        let states = self.probed_nodes().filter_map(|node| self.nodes.get(node));
        let advertised = states.filter(move |state| state.is_advertised(now));
        advertised.map(|state| (&state.record, state.is_isolated()))
    }

    /// Returns the nodes that this one probes for its address answers.
    pub fn probed_nodes(&self) -> impl Iterator<Item = &NodeName> {
        self.probe_order.nodes().take(PROBED_NODES_MAX)
    }

    /// Returns where this node reads the store's objects, and whether other nodes follow it.
    ///
    /// Hundreds of nodes that each poll the store would exceed its call quota, so that the nodes
    /// form a tree: two roots poll the store, relays in each data centre follow the roots, and all
    /// other nodes follow a relay. Nodes with a higher capacity class are preferred as relays.
    pub fn upstream(&self) -> Upstream {
        if self.relay_capable_count + 1 < RELAYED_FLEET_NODES_MIN {
            return self.upstream_with(Vec::new(), false);
        }
        let roots = self.roots();
        if roots.contains(&self.own) {
            return self.upstream_with(Vec::new(), true);
        }
        let below = match self.has_lower_relays() {
            true => self.relays_below(&roots),
            false => Vec::new(),
        };
        let is_relay = below.contains(&&self.own);
        let mut followed: Vec<&NodeName> = match is_relay || below.is_empty() {
            true => roots.iter().collect(),
            false => below,
        };
        followed.sort_by_key(|node| self.probe_order.weight(node));
        followed.truncate(RELAY_CANDIDATES);
        self.upstream_with(followed, is_relay)
    }

    /// Adds the other nodes that may be asked, and returns all with their records.
    ///
    /// In a fleet with more relays than the roots, only some nodes keep what they know for others.
    fn upstream_with(&self, relays: Vec<&NodeName>, is_relay: bool) -> Upstream {
        let roots = self.roots();
        let has_lower_relays = self.has_lower_relays();
        let mut others: Vec<&NodeName> = match has_lower_relays {
            true => self.near_candidates(&roots).take(self.asked_count()).collect(),
            false => self.relays.nodes().filter(|node| self.may_relay(node)).collect(),
        };
        let is_asked = is_relay || others.contains(&&self.own);
        others.extend(roots.iter().filter(|_| has_lower_relays));
        others.retain(|node| **node != self.own && !relays.contains(node));
        others.sort_by_cached_key(|node| {
            let is_cut_off = self.nodes.get(*node).is_some_and(NodeState::is_cut_off);
            (is_cut_off, !roots.contains(node), self.probe_order.weight(node))
        });
        others.truncate(OTHERS_MAX);
        let records = |nodes: Vec<&NodeName>| -> Vec<NodeRecord> {
            nodes.into_iter().filter_map(|node| self.record(node)).cloned().collect()
        };
        Upstream { relays: records(relays), others: records(others), is_relay, is_asked }
    }

    /// Whether the fleet needs more relays than the roots.
    fn has_lower_relays(&self) -> bool {
        (self.relay_capable_count + 1) / NODES_PER_RELAY > ROOT_RELAYS
    }

    /// Returns the live nodes that poll the store for the others.
    pub fn roots(&self) -> Vec<NodeName> {
        let ready = self.relays.nodes().filter(|node| self.may_relay(node));
        ready.take(ROOT_RELAYS).cloned().collect()
    }

    /// Returns the nodes that publish the first directory of relays, given some of all records.
    ///
    /// Nodes that see the same records choose the same ones.
    pub fn first_publishers(records: &[NodeRecord]) -> Vec<NodeName> {
        let mut ranking = Ranking::new(RELAY_KEY);
        let ready = records.iter().filter(|record| record.ready);
        ready.for_each(|record| {
            ranking.insert_with_capacity(&record.node, record.capacity_class());
        });
        ranking.nodes().take(ROOT_RELAYS).cloned().collect()
    }

    /// Returns the relays of all data centres.
    pub fn relay_directory(&self) -> RelayDirectory {
        let record = |node: &NodeName| match *node == self.own {
            true => self.own_record.as_ref(),
            false => self.record(node),
        };
        let mut nodes_by_data_centre: BTreeMap<&DataCentreName, Vec<&NodeRecord>> = BTreeMap::new();
        let roots = self.roots();
        for record in self.relays.nodes().filter_map(record) {
            nodes_by_data_centre.entry(&record.data_centre).or_default().push(record);
        }
        if !self.has_lower_relays() {
            nodes_by_data_centre.clear();
        }
        let relays = nodes_by_data_centre.into_values().flat_map(|nodes| {
            let count = (nodes.len() / NODES_PER_RELAY).max(1);
            let live = nodes.into_iter().filter(|record| self.may_relay(&record.node));
            live.filter(|record| !roots.contains(&record.node)).take(count)
        });
        RelayDirectory {
            relays: relays.cloned().collect(),
            roots: roots.iter().filter_map(record).cloned().collect(),
        }
    }

    /// Returns the number of live nodes that precede this one in the order for a key, and the
    /// number of live nodes including this one.
    ///
    /// A node that is leaving comes last.
    pub fn position_for(&self, key: &str, own_is_leaving: bool) -> (usize, usize) {
        let order = Ranking::new(key);
        let own = order.weight(&self.own);
        let live = self.nodes.values().filter(|state| state.is_live() && !state.is_isolated());
        let preceding = live.filter(|state| {
            own_is_leaving
                || (order.weight(&state.record.node), &state.record.node) < (own, &self.own)
        });
        (preceding.count(), self.sender_count() + 1)
    }

    /// Returns the relays of this node's data centre that follow the roots.
    fn relays_below(&self, roots: &[NodeName]) -> Vec<&NodeName> {
        self.near_candidates(roots).take(self.lower_relay_count()).collect()
    }

    /// Returns the nodes of this node's data centre that may follow the roots, in relay order.
    fn near_candidates(&self, roots: &[NodeName]) -> impl Iterator<Item = &NodeName> {
        let candidates = self.near_relays.nodes().filter(|node| !roots.contains(node));
        candidates.filter(|node| self.may_relay(node))
    }

    /// Returns the number of relays of this node's data centre that follow the roots.
    fn lower_relay_count(&self) -> usize {
        (self.near_relays.len() / NODES_PER_RELAY).max(1)
    }

    /// Returns the number of nodes of this node's data centre that keep what they know for others.
    fn asked_count(&self) -> usize {
        self.lower_relay_count().max(ASKED_NODES_MIN)
    }

    fn may_relay(&self, node: &NodeName) -> bool {
        *node == self.own || self.nodes.get(node).is_some_and(NodeState::may_relay)
    }

    /// Whether this node coordinates a domain.
    pub fn is_coordinator(&self, domain: &DomainName, own_is_cut_off: bool) -> bool {
        self.coordinator_of(domain, own_is_cut_off) == Some(&self.own)
    }

    /// Returns the coordinator of a domain, as far as this node knows.
    ///
    /// A coordinator that is cut off from the store could not write a plan, and one that has lost its
    /// links to targets takes them all for lost, so the next candidate with store access takes its
    /// place. If the store is unavailable to all nodes, the domains
    /// keep their coordinators.
    pub fn coordinator_of(&self, domain: &DomainName, own_is_cut_off: bool) -> Option<&NodeName> {
        let any_has_access = !own_is_cut_off || self.any_has_store_access();
        let own_can_coordinate = !own_is_cut_off || !self.any_has_store_access();
        let can_coordinate =
            |state: &NodeState| state.is_live() && (!any_has_access || !state.cannot_coordinate());
        self.coordinators.get(domain)?.nodes().find(|node| match **node == self.own {
            true => own_can_coordinate,
            false => self.nodes.get(*node).is_some_and(can_coordinate),
        })
    }

    /// Returns the candidates that precede this node in a domain's coordinator order, if this node
    /// is the coordinator or one of its standbys.
    pub fn preceding_candidates(&self, domain: &DomainName) -> impl Iterator<Item = &NodeName> {
        let candidates = self
            .coordinators
            .get(domain)
            .into_iter()
            .flat_map(Ranking::nodes)
            .take(STANDBY_COORDINATORS + 1);
        let candidates: Vec<&NodeName> = candidates.collect();
        let position = candidates.iter().position(|node| **node == self.own).unwrap_or_default();
        candidates.into_iter().take(position)
    }
}

/// Returns the interval between two heartbeats of a node, for a fleet of `nodes` nodes, in
/// milliseconds.
pub fn heartbeat_interval_ms(nodes: u64) -> u64 {
    HEARTBEAT_MS_MIN.max(nodes * HEARTBEAT_MS_PER_NODE)
}
