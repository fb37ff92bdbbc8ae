use std::collections::BTreeMap;
use std::net::SocketAddr;

use celeryhaven_derives::data;
use celeryhaven_types::{DataCentreName, DomainName, NodeName, TimeMs};

/// Prefix of the nodes' records in the store.
pub(crate) const NODES_PREFIX: &str = "nodes/";

/// How long a record may go without a new heartbeat before its node counts as gone, in
/// milliseconds.
///
/// Three heartbeats and the age of a stale read.
const RECORD_LIFE_MS: u64 = 10_000;

/// How long a failed probe keeps a node out, in milliseconds.
const PROBE_LIFE_MS: u64 = 1_500;

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
        /// Tells one start of its process from the next.
        pub(crate) boot: u64,
        /// Grows while it lives.
        pub(crate) heartbeat: u64,
        /// Whether it takes requests.
        pub(crate) ready: bool,
    }
}

#[derive(Clone, Debug)]
struct Seen {
    record: NodeRecord,
    changed_at: TimeMs,
    silent_until: Option<TimeMs>,
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
                    let seen = Seen { record, changed_at: now, silent_until: None };
                    self.seen.insert(seen.record.node.clone(), seen);
                }
            }
        }
        self.seen.retain(|_, seen| now.since(seen.changed_at) < RECORD_LIFE_MS);
    }

    /// Takes over whether a node answered a probe.
    pub(crate) fn probed(&mut self, now: TimeMs, node: &NodeName, answers: bool) {
        if let Some(seen) = self.seen.get_mut(node) {
            seen.silent_until = (!answers).then(|| now.after(PROBE_LIFE_MS));
        }
    }

    /// Nodes that live, as far as is known.
    pub(crate) fn live(&self, now: TimeMs) -> impl Iterator<Item = &NodeRecord> {
        self.seen
            .values()
            .filter(move |seen| seen.silent_until.is_none_or(|until| until <= now))
            .map(|seen| &seen.record)
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
        names.sort_by_key(|name| std::cmp::Reverse((weight(domain, name), name.clone())));
        names
    }
}

fn is_newer(record: &NodeRecord, before: &NodeRecord) -> bool {
    (record.boot, record.heartbeat) > (before.boot, before.heartbeat)
}

/// Source: Fowler, Noll, Vo, 64-bit FNV-1a; the same on every node, unlike seeded hashers.
fn weight(domain: &DomainName, node: &NodeName) -> u64 {
    let bytes = domain.as_str().bytes().chain([0]).chain(node.as_str().bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    // FNV mixes its last bytes poorly into the high bits, by which weights are compared.
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
