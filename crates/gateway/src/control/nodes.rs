use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use celeryhaven_derives::data;
use celeryhaven_types::{DataCentreName, DomainName, NodeName, TimeMs};

/// Prefix of the nodes' records in the store.
pub(crate) const NODES_PREFIX: &str = "nodes/";

/// Heartbeats that a record may miss before its node counts as gone, and the age of a stale read,
/// in milliseconds.
const HEARTBEATS_MISSED: u64 = 2;
const STALE_MS: u64 = 4_000;

/// Shortest time between two heartbeats of one node, and for each node, in milliseconds.
///
/// Load: every node writes its record. Harm: at one write each three seconds 63 nodes made 189 writes
/// of 540 calls in nine quiet seconds, and 340 would spend a quarter of the store's writes. Limit: all nodes together
/// write seven times a second; probes tell sooner who is gone.
const HEARTBEAT_MS_MIN: u64 = 3_000;
const HEARTBEAT_MS_PER_NODE: u64 = 150;

/// How long a node is named to callers after its last good probe, in milliseconds.
///
/// Three probes, one of which may be lost. Callers keep an address for some seconds more, and a
/// node that is gone costs each of them a second.
const PROBE_LIFE_MS: u64 = 2_500;

/// Failed probes in a row after which a node counts as silent.
const SILENT_PROBES: u32 = 2;

/// Nodes for which there is one relay, and the least number of relays.
///
/// Load: a watch of each kind from every relay. Harm: with one relay for ten nodes, 63 nodes made 153
/// watches of 540 calls in nine quiet seconds. Limit: with one for twenty, the busiest of 82 nodes
/// took 0.04 of a core.
const NODES_PER_RELAY: usize = 20;
const RELAYS_MIN: usize = 2;

/// Nodes below which each asks the store itself.
const RELAYED_NODES_MIN: usize = 5;

/// Nodes that one node probes for its address answers.
///
/// Load: hundreds of nodes. Harm: probes of all by all grow with the square of their number, and a
/// node with a tenth of a core spends it on them. Limit: ten, chosen by rendezvous hash, so that
/// every node is named by some and no caller is left with few addresses.
const PROBED_NODES: usize = 10;

data! {
    /// What a node tells the others of itself.
    #[derive(Eq)]
    pub(crate) struct NodeRecord {
        /// Its name.
        pub(crate) node: NodeName,
        /// Its data centre.
        pub(crate) data_centre: DataCentreName,
        /// Where it takes callers' requests.
        pub(crate) caller_address: SocketAddr,
        /// Where it tells whether it takes requests.
        pub(crate) ready_address: SocketAddr,
        /// Where it answers nodes that follow it.
        pub(crate) peer_address: SocketAddr,
        /// What those nodes show it; only who reads the store knows it.
        pub(crate) token: String,
        /// Tells one start of its process from the next.
        pub(crate) boot: u64,
        /// Grows while it lives.
        pub(crate) heartbeat: u64,
        /// Whether it takes requests.
        pub(crate) ready: bool,
    }
}

/// What a probe of a node showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeProbe {
    /// It takes requests.
    Ready,
    /// It takes requests, and the store does not serve it: it can write no plan.
    CutOff,
    /// It lives and takes none: it starts or leaves.
    NotReady,
    /// It did not answer.
    Silent,
}

#[derive(Clone, Debug)]
struct Seen {
    record: NodeRecord,
    changed_at: TimeMs,
    /// Its last answer to a probe; the record alone may be of a node that is long gone.
    answered_at: Option<TimeMs>,
    last: Option<NodeProbe>,
    failures: u32,
}

impl Seen {
    fn new(now: TimeMs, record: NodeRecord) -> Self {
        Self { record, changed_at: now, answered_at: None, last: None, failures: 0 }
    }

    /// Whether it lives and takes requests, as far as is known.
    fn is_live(&self) -> bool {
        self.failures < SILENT_PROBES && self.last != Some(NodeProbe::NotReady)
    }
}

/// The other nodes, as their records and probes show them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Nodes {
    seen: BTreeMap<NodeName, Seen>,
}

impl Nodes {
    /// Takes over all records; a node whose record stays as it is has died.
    pub(crate) fn update(&mut self, now: TimeMs, records: Vec<NodeRecord>) {
        for record in records {
            match self.seen.get_mut(&record.node) {
                Some(seen) if is_newer(&record, &seen.record) => {
                    seen.record = record;
                    seen.changed_at = now;
                }
                Some(_) => {}
                None => {
                    self.seen.insert(record.node.clone(), Seen::new(now, record));
                }
            }
        }
        let life_ms = STALE_MS + HEARTBEATS_MISSED * heartbeat_ms(self.seen.len() as u64);
        self.seen.retain(|_, seen| now.since(seen.changed_at) < life_ms);
    }

    /// Whether a node has never been probed.
    pub(crate) fn has_unprobed(&self) -> bool {
        self.seen.values().any(|seen| seen.last.is_none() && seen.failures == 0)
    }

    /// Takes over what a probe showed.
    pub(crate) fn probed(&mut self, now: TimeMs, node: &NodeName, probe: NodeProbe) {
        let Some(seen) = self.seen.get_mut(node) else { return };
        match probe {
            NodeProbe::Silent => seen.failures = seen.failures.saturating_add(1),
            NodeProbe::Ready | NodeProbe::CutOff | NodeProbe::NotReady => {
                seen.failures = 0;
                seen.answered_at = Some(now);
                seen.last = Some(probe);
            }
        }
    }

    /// Nodes that live and take requests, as far as is known.
    pub(crate) fn live(&self) -> impl Iterator<Item = &NodeRecord> {
        self.seen.values().filter(|seen| seen.is_live()).map(|seen| &seen.record)
    }

    /// Other nodes that can decide.
    ///
    /// Guards against a domain whose decider is the one that the store turns away: it could write no
    /// plan, and what broke stayed broken for as long. With the store away for all, nodes keep their
    /// domains, and take apart what can be formed anew on its return.
    pub(crate) fn deciding(&self, own: &NodeName, own_is_served: bool) -> BTreeSet<&NodeName> {
        let any_served = own_is_served || self.is_any_served(own);
        let others = self.seen.values().filter(|seen| seen.record.node != *own && seen.is_live());
        let able = others.filter(|seen| !any_served || seen.last != Some(NodeProbe::CutOff));
        able.map(|seen| &seen.record.node).collect()
    }

    /// Whether the store serves another node, as far as probes show.
    pub(crate) fn is_any_served(&self, own: &NodeName) -> bool {
        let others = self.seen.values().filter(|seen| seen.record.node != *own);
        others.filter(|seen| seen.is_live()).any(|seen| seen.last == Some(NodeProbe::Ready))
    }

    /// Nodes to name to callers: those that this one probes and that answered lately.
    pub(crate) fn named(&self, now: TimeMs, own: &NodeName) -> Vec<&NodeRecord> {
        let probed = self.to_probe(own);
        let fresh = |seen: &&Seen| {
            seen.is_live() && seen.answered_at.is_some_and(|at| now.since(at) < PROBE_LIFE_MS)
        };
        let seen = probed.iter().filter_map(|name| self.seen.get(name));
        seen.filter(fresh).map(|seen| &seen.record).collect()
    }

    /// Nodes that this one probes for its address answers.
    pub(crate) fn to_probe(&self, own: &NodeName) -> Vec<NodeName> {
        let mut names: Vec<_> = self.seen.keys().filter(|name| *name != own).cloned().collect();
        names.sort_by_key(|name| std::cmp::Reverse(weight(own.as_str(), name)));
        names.truncate(PROBED_NODES);
        names
    }

    /// Nodes that follow the store for the others, the first for this one first; none where there
    /// are few nodes.
    ///
    /// Load: hundreds of nodes before a store whose calls are rationed and priced. Harm: a watch of
    /// each node and kind is most of its calls. Limit: one relay for some ten nodes, so that each
    /// answers no more nodes as the fleet grows.
    pub(crate) fn relays<'a>(&'a self, own: &'a NodeRecord) -> Vec<&'a NodeRecord> {
        let live: Vec<&NodeRecord> = self.live().filter(|record| record.ready).collect();
        let others = live.iter().filter(|record| record.node != own.node).count();
        let count = (others + 1) / NODES_PER_RELAY;
        let mut names: Vec<&NodeRecord> =
            live.into_iter().filter(|record| record.node != own.node).chain([own]).collect();
        names.sort_by_key(|record| std::cmp::Reverse(weight("relay", &record.node)));
        names.truncate(count.max(RELAYS_MIN));
        if others + 1 < RELAYED_NODES_MIN {
            return Vec::new();
        }
        names.sort_by_key(|record| std::cmp::Reverse(weight(own.node.as_str(), &record.node)));
        names
    }

    /// The record of a node.
    pub(crate) fn record(&self, node: &NodeName) -> Option<&NodeRecord> {
        self.seen.get(node).map(|seen| &seen.record)
    }

    /// Ready nodes in the order in which they decide for a domain, `own` among them.
    ///
    /// Rendezvous hashing: when a node goes, only its own domains move.
    pub(crate) fn ranking(&self, domain: &DomainName, own: &NodeName) -> Vec<NodeName> {
        let others = self.seen.values().filter(|seen| seen.record.ready);
        let mut names: Vec<NodeName> = others.map(|seen| seen.record.node.clone()).collect();
        if !names.contains(own) {
            names.push(own.clone());
        }
        names.sort_by_key(|name| std::cmp::Reverse((weight(domain.as_str(), name), name.clone())));
        names
    }
}

/// Time between two heartbeats of a node among so many, in milliseconds.
pub(crate) fn heartbeat_ms(nodes: u64) -> u64 {
    HEARTBEAT_MS_MIN.max(nodes * HEARTBEAT_MS_PER_NODE)
}

fn is_newer(record: &NodeRecord, before: &NodeRecord) -> bool {
    (record.boot, record.heartbeat) > (before.boot, before.heartbeat)
}

/// Source: Fowler, Noll, Vo, 64-bit FNV-1a; the same on every node, unlike seeded hashers.
fn weight(of: &str, node: &NodeName) -> u64 {
    let bytes = of.bytes().chain([0]).chain(node.as_str().bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    // FNV mixes its last bytes poorly into the high bits, by which weights are compared.
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
