use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::{DataCentreName, DomainName, Map, NodeName, TimeMs};

use crate::fleet::Upstream;
use crate::fleet::seen::Seen;
use crate::node::{NodeRecord, ProbeResult};
use crate::ranking::Ranking;

/// Heartbeats that a record may miss before its node counts as gone, and the age of a stale read,
/// in milliseconds.
const HEARTBEATS_MISSED: u64 = 2;
const STALE_MS: u64 = 4_000;

/// Shortest time between two heartbeats of one node, and for each node, in milliseconds.
///
/// Load: every node writes its record. Harm: written each few seconds by hundreds of nodes, records
/// would take a quarter of the store's writes. Limit: all nodes together write some three times a
/// second; probes tell sooner who is gone.
const HEARTBEAT_MS_MIN: u64 = 3_000;
const HEARTBEAT_MS_PER_NODE: u64 = 300;

/// Nodes for which there is one relay.
///
/// Load: every node follows the targets and the configuration. Harm: a relay spends its processor on
/// its followers, and the smallest VMs have a tenth of a core. Limit: twenty followers each.
const NODES_PER_RELAY: usize = 20;

/// Relays that follow the store itself; where there are more, those follow these.
///
/// Load: a relay for each twenty nodes. Harm: with each at the store, calls there grow with the
/// nodes. Limit: two, so that one may be lost; a relay whose upstream is silent asks the store.
const ROOTS: usize = 2;

/// The key that relays are ranked for.
const RELAY_KEY: &str = "relay";

/// Nodes below which each asks the store itself.
const RELAYED_NODES_MIN: usize = 5;

/// Nodes that one node probes for its address answers.
///
/// Load: hundreds of nodes. Harm: probes of all by all grow with the square of their number, and a
/// node with a tenth of a core spends it on them. Limit: ten, chosen by rendezvous hash, so that
/// every node is named by some and no caller is left with few addresses.
const PROBED_NODES: usize = 10;

/// Nodes after a domain's decider that watch it by probes.
///
/// Six, so that a domain has a decider where the store turns away a third of the nodes: reckoned, its
/// first three are all turned away in one case of 25, its first seven in one of 1,500. The cost for a
/// node does not grow with the fleet.
const WATCHERS: usize = 6;

/// The other nodes, as their records and probes show them.
///
/// ```
/// use celeryhaven_peers::Peers;
/// use celeryhaven_types::{DomainName, NodeName};
///
/// let mut peers = Peers::new(NodeName::new("entry-1"));
/// let domain = DomainName::new("rack-1");
/// peers.set_domains([&domain]);
/// // A node that knows no other decides for everything.
/// assert!(peers.is_coordinator(&domain, false));
/// ```
#[derive(Clone, Debug)]
pub struct Peers {
    own: NodeName,
    seen: BTreeMap<NodeName, Seen>,
    /// Nodes that live, and of those the ones that the store serves.
    live: usize,
    served: usize,
    unprobed: usize,
    /// All others, by whom this node probes first.
    to_probe: Ranking,
    /// The data centre of this node; `None` if all others count as near.
    data_centre: Option<DataCentreName>,
    capacity: u32,
    /// Ready nodes, this one among them, by who relays first: all, and those of its data centre.
    relays: Ranking,
    near_relays: Ranking,
    /// Ready nodes, this one among them, by who decides for each domain.
    deciders: Map<DomainName, Ranking>,
}

impl Peers {
    /// Knows no other node yet.
    pub fn new(own: NodeName) -> Self {
        let mut relays = Ranking::new(RELAY_KEY);
        relays.insert(&own);
        let near_relays = relays.clone();
        let to_probe = Ranking::new(own.as_str());
        Self {
            own,
            seen: BTreeMap::new(),
            live: 0,
            served: 0,
            unprobed: 0,
            to_probe,
            data_centre: None,
            capacity: 0,
            relays,
            near_relays,
            deciders: Map::default(),
        }
    }

    /// Tells where this node is and what it can carry, as its record does.
    pub fn with_own_record(mut self, record: &NodeRecord) -> Self {
        self.data_centre = Some(record.data_centre.clone());
        self.capacity = record.capacity_class();
        self.relays.insert_with_capacity(&self.own, self.capacity);
        self.near_relays.insert_with_capacity(&self.own, self.capacity);
        self
    }

    /// Takes over all records; a node whose record stays as it is has died. True if a node has come,
    /// gone or become another.
    pub fn apply_records(&mut self, now: TimeMs, records: Vec<NodeRecord>) -> bool {
        let put =
            records.into_iter().fold(false, |changed, record| changed | self.put(now, record));
        put | self.expire(now)
    }

    fn put(&mut self, now: TimeMs, record: NodeRecord) -> bool {
        if record.node == self.own {
            return false;
        }
        let node = record.node.clone();
        let Some(before) = self.seen.get_mut(&node) else {
            self.insert(Seen::new(now, record));
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
        before.record = record.clone();
        self.rank(&record);
        true
    }

    /// Forgets nodes whose record has stayed as it is; true if there was one.
    fn expire(&mut self, now: TimeMs) -> bool {
        let life_ms = STALE_MS + HEARTBEATS_MISSED * heartbeat_interval_ms(self.seen.len() as u64);
        let gone = self.seen.values().filter(|seen| now.since(seen.changed_at) >= life_ms);
        let gone: Vec<NodeName> = gone.map(|seen| seen.record.node.clone()).collect();
        gone.iter().for_each(|node| self.remove(node));
        !gone.is_empty()
    }

    fn insert(&mut self, seen: Seen) {
        let record = seen.record.clone();
        self.count(&seen, true);
        self.seen.insert(record.node.clone(), seen);
        self.to_probe.insert(&record.node);
        self.rank(&record);
    }

    fn remove(&mut self, node: &NodeName) {
        let Some(seen) = self.seen.remove(node) else { return };
        self.count(&seen, false);
        self.to_probe.remove(node);
        self.rank(&NodeRecord { ready: false, ..seen.record });
    }

    /// Counts a node in or out.
    fn count(&mut self, seen: &Seen, is_in: bool) {
        let counted = [
            (&mut self.live, seen.is_live()),
            (&mut self.served, seen.is_served()),
            (&mut self.unprobed, seen.is_unprobed()),
        ];
        for (count, counts) in counted {
            match is_in {
                true => *count += usize::from(counts),
                false => *count -= usize::from(counts),
            }
        }
    }

    /// Puts a node into the orders of ready ones, or takes it out.
    fn rank(&mut self, record: &NodeRecord) {
        let (node, capacity) = (&record.node, record.capacity_class());
        let is_near = self.data_centre.as_ref().is_none_or(|own| *own == record.data_centre);
        let near = is_near.then_some(&mut self.near_relays);
        for ranking in near.into_iter().chain([&mut self.relays]) {
            match record.ready {
                true => ranking.insert_with_capacity(node, capacity),
                false => ranking.remove(node),
            }
        }
        for ranking in self.deciders.values_mut() {
            match record.ready {
                true => ranking.insert(node),
                false => ranking.remove(node),
            }
        }
    }

    /// Ranks nodes for these domains and no others from now on.
    pub fn set_domains<'a>(&mut self, domains: impl IntoIterator<Item = &'a DomainName>) {
        let domains: BTreeSet<&DomainName> = domains.into_iter().collect();
        self.deciders.retain(|domain, _| domains.contains(domain));
        for domain in domains {
            if self.deciders.contains_key(domain) {
                continue;
            }
            let mut ranking = Ranking::new(domain.as_str());
            self.relays.nodes().for_each(|node| ranking.insert(node));
            self.deciders.insert(domain.clone(), ranking);
        }
    }

    /// Takes over what a probe showed; true if that changes who lives or whom the store serves.
    pub fn record_probe(&mut self, now: TimeMs, node: &NodeName, probe: ProbeResult) -> bool {
        let Some(mut seen) = self.seen.remove(node) else { return false };
        let standing = |seen: &Seen| (seen.is_live(), seen.is_served(), seen.is_cut_off());
        let before = standing(&seen);
        self.count(&seen, false);
        seen.probed(now, probe);
        self.count(&seen, true);
        let changed = before != standing(&seen);
        self.seen.insert(node.clone(), seen);
        changed
    }

    /// Whether a node has never been probed.
    pub fn has_unprobed(&self) -> bool {
        self.unprobed > 0
    }

    /// How many other nodes live and take requests, as far as is known.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// Whether the store serves another node, as far as probes show.
    pub fn any_has_store_access(&self) -> bool {
        self.served > 0
    }

    /// The record of a node.
    pub fn record(&self, node: &NodeName) -> Option<&NodeRecord> {
        self.seen.get(node).map(|seen| &seen.record)
    }

    /// Nodes to name to callers: those that this one probes and that answered lately.
    pub fn advertised(&self, now: TimeMs) -> impl Iterator<Item = &NodeRecord> {
        let seen = self.probed_nodes().filter_map(|node| self.seen.get(node));
        seen.filter(move |seen| seen.is_named(now)).map(|seen| &seen.record)
    }

    /// Nodes that this one probes for its address answers.
    pub fn probed_nodes(&self) -> impl Iterator<Item = &NodeName> {
        self.to_probe.nodes().take(PROBED_NODES)
    }

    /// Whom this node asks for what the store holds, and whether others ask it.
    ///
    /// Load: hundreds of nodes before a store whose calls are rationed and priced. Harm: a watch of
    /// each node and kind is most of its calls, and what crosses data centres is priced too. Limit: a
    /// tree of two levels, two nodes at the store, below them in each data centre one relay for some
    /// twenty nodes; nodes with more of a core come first.
    pub fn upstream(&self) -> Upstream {
        if self.live + 1 < RELAYED_NODES_MIN {
            return Upstream { relay: None, is_relay: false };
        }
        let ready = self.relays.nodes().filter(|node| self.is_live_or_own(node));
        let roots: Vec<NodeName> = ready.take(ROOTS).cloned().collect();
        if roots.contains(&self.own) {
            return Upstream { relay: None, is_relay: true };
        }
        let below = match (self.live + 1) / NODES_PER_RELAY {
            few if few <= ROOTS => Vec::new(),
            _ => self.relays_below(&roots),
        };
        let is_relay = below.contains(&&self.own);
        let followed: Vec<&NodeName> = match is_relay || below.is_empty() {
            true => roots.iter().collect(),
            false => below,
        };
        let nearest = followed.into_iter().min_by_key(|node| self.to_probe.weight(node));
        let relay = nearest.and_then(|node| self.record(node)).cloned();
        Upstream { relay, is_relay }
    }

    /// Relays of this node's data centre that follow the roots.
    fn relays_below(&self, roots: &[NodeName]) -> Vec<&NodeName> {
        let count = (self.near_relays.len() / NODES_PER_RELAY).max(1);
        let near = self.near_relays.nodes().filter(|node| !roots.contains(node));
        near.filter(|node| self.is_live_or_own(node)).take(count).collect()
    }

    fn is_live_or_own(&self, node: &NodeName) -> bool {
        *node == self.own || self.seen.get(node).is_some_and(Seen::is_live)
    }

    /// Whether this node decides for a domain.
    pub fn is_coordinator(&self, domain: &DomainName, own_is_cut_off: bool) -> bool {
        self.coordinator_of(domain, own_is_cut_off) == Some(&self.own)
    }

    /// The node that decides for a domain, as far as this one knows.
    ///
    /// Guards against a domain whose decider is the one that the store turns away: it could write no
    /// plan, and what broke stayed broken for as long. With the store away for all, nodes keep their
    /// domains, and take apart what can be formed anew on its return.
    pub fn coordinator_of(&self, domain: &DomainName, own_is_cut_off: bool) -> Option<&NodeName> {
        let any_served = !own_is_cut_off || self.any_has_store_access();
        let own_decides = !own_is_cut_off || !self.any_has_store_access();
        let can_decide = |seen: &Seen| seen.is_live() && (!any_served || !seen.is_cut_off());
        self.deciders.get(domain)?.nodes().find(|node| match **node == self.own {
            true => own_decides,
            false => self.seen.get(*node).is_some_and(can_decide),
        })
    }

    /// Nodes that decide for a domain before this one, if it is among the next.
    pub fn preceding_candidates(&self, domain: &DomainName) -> impl Iterator<Item = &NodeName> {
        let first =
            self.deciders.get(domain).into_iter().flat_map(Ranking::nodes).take(WATCHERS + 1);
        let first: Vec<&NodeName> = first.collect();
        let place = first.iter().position(|node| **node == self.own).unwrap_or_default();
        first.into_iter().take(place)
    }
}

/// Time between two heartbeats of a node among so many, in milliseconds.
pub fn heartbeat_interval_ms(nodes: u64) -> u64 {
    HEARTBEAT_MS_MIN.max(nodes * HEARTBEAT_MS_PER_NODE)
}
