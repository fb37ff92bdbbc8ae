//! Limits of targets, as the nodes of a fleet see them through the store.

use std::collections::BTreeMap;

use celeryhaven_records::{RecordWrite, WriteOutcome};
use celeryhaven_target_limits::{LimitRecord, LimitWrite, NodeView, Position, TargetLimits};
use celeryhaven_types::store::ObjectVersion;
use celeryhaven_types::{TimeMs, VmName};

/// Requests a second that a cold target bears.
const COLD_RATE_PER_S: f64 = 23.0;

/// A node that sees all nodes and one process of each target.
#[derive(Clone, Copy)]
struct View {
    rank: usize,
    nodes: usize,
    started_at_ms: u64,
}

impl NodeView for View {
    fn started_at_ms(&self, target: &VmName) -> Option<Option<u64>> {
        (target.as_str() != "gone").then_some(Some(self.started_at_ms))
    }

    fn cold_rate_per_s(&self, _: &VmName) -> Option<f64> {
        Some(COLD_RATE_PER_S)
    }

    fn position(&self, _: &VmName) -> Position {
        Position { rank: self.rank, nodes: self.nodes }
    }
}

#[derive(Default)]
struct Store {
    version: u64,
    writes: usize,
    records: BTreeMap<VmName, (ObjectVersion, LimitRecord)>,
}

impl Store {
    fn execute(&mut self, write: &LimitWrite) -> WriteOutcome<LimitRecord> {
        self.writes += 1;
        let found = self.records.get(write.key()).copied();
        let expected = match write {
            RecordWrite::Put { version, .. } => *version,
            RecordWrite::Delete { version, .. } => Some(*version),
        };
        match (write, found) {
            (_, Some((version, record))) if Some(version) != expected => {
                WriteOutcome::Found(version, record)
            }
            (_, None) if expected.is_some() => WriteOutcome::Missing,
            (RecordWrite::Put { key, record, .. }, _) => {
                self.version += 1;
                let version = ObjectVersion::new(self.version);
                self.records.insert(key.clone(), (version, *record));
                WriteOutcome::Written(version)
            }
            (RecordWrite::Delete { key, version }, _) => {
                self.version += 1;
                self.records.remove(key);
                WriteOutcome::Written(*version)
            }
        }
    }
}

/// Nodes that follow one store.
struct Fleet {
    store: Store,
    nodes: Vec<(View, TargetLimits)>,
}

impl Fleet {
    fn new(nodes: usize) -> Self {
        let view = |rank| View { rank, nodes, started_at_ms: 1 };
        let nodes = (0..nodes).map(|rank| (view(rank), TargetLimits::new())).collect();
        Self { store: Store::default(), nodes }
    }

    /// Tells every node that an answer of the target named a rate, or none.
    fn observe_all(&mut self, now: TimeMs, rate_per_s: Option<f64>) {
        for (view, node) in &mut self.nodes {
            node.observe(now, &target(), Some(view.started_at_ms), rate_per_s);
        }
    }

    /// Lets all nodes write and read for some time.
    fn run(&mut self, from_ms: u64, for_ms: u64) {
        for now in (from_ms..from_ms + for_ms).step_by(50).map(at) {
            for (view, node) in &mut self.nodes {
                for write in node.due_writes(now, view, view.rank == 0) {
                    let outcome = self.store.execute(&write);
                    node.written(now, &write, outcome);
                }
            }
            for (_, node) in &mut self.nodes {
                let records = self.store.records.iter();
                let records =
                    records.map(|(target, (version, record))| (target.clone(), *version, *record));
                node.stored_mut().replace(now, ObjectVersion::new(self.store.version), records);
            }
        }
    }

    /// Returns the rates of the nodes for the target; `None` for those without a limit.
    fn rates(&mut self, now: TimeMs) -> Vec<Option<f64>> {
        let rate = |(view, node): &mut (View, TargetLimits)| {
            node.limits(now, view).get(&target()).map(|limit| limit.node_rate_per_s)
        };
        self.nodes.iter_mut().map(rate).collect()
    }
}

fn at(ms: u64) -> TimeMs {
    TimeMs::new(1_000_000 + ms)
}

fn target() -> VmName {
    VmName::new("vm-1")
}

/// The parts of all nodes must not exceed the rate, nor may so many nodes send that their first
/// requests alone do.
#[test]
fn limits_sum_at_any_size() {
    for nodes in [1, 2, 8, 30, 340] {
        for rate_per_s in [0.0, 0.3, 1.0, 1.7, 12.5, 1_000.0, 1e12] {
            let mut fleet = Fleet::new(nodes);
            fleet.observe_all(at(0), Some(rate_per_s));
            fleet.run(0, 3_000);
            let rates = fleet.rates(at(3_000));
            let sum: f64 = rates.iter().flatten().sum();
            assert!(sum <= rate_per_s.max(0.25) * 1.000_1, "{sum} of {rate_per_s}, {nodes} nodes");
            assert!(sum >= rate_per_s * 0.999_9, "{sum} of {rate_per_s}, {nodes} nodes");
            let senders = rates.iter().flatten().filter(|rate| **rate > 0.0).count() as f64;
            assert!(4.0 * sum + senders <= 6.0 * rate_per_s + 5.0, "{senders} of {nodes} send");
            assert_eq!(rates.iter().flatten().count(), nodes, "a node holds no limit");
        }
    }
}

/// A limit that one node was told must hold at all, and its end must reach nodes that do not send.
#[test]
fn limits_follow_the_store() {
    let mut fleet = Fleet::new(8);
    let (view, node) = &mut fleet.nodes[5];
    node.observe(at(0), &target(), Some(view.started_at_ms), Some(1.0));
    fleet.run(0, 2_000);
    assert!(fleet.rates(at(2_000)).iter().all(Option::is_some));
    let (view, node) = &mut fleet.nodes[0];
    node.observe(at(2_000), &target(), Some(view.started_at_ms), None);
    fleet.run(2_000, 500);
    assert!(fleet.rates(at(2_500)).iter().all(Option::is_none));
    assert!(fleet.store.records.is_empty());
}

/// An answer that was under way when the record arrived must not hold the limit beyond the record:
/// nodes that do not send would keep away from the target for the whole time without a record.
#[test]
fn limits_answer_after_record() {
    let mut fleet = Fleet::new(6);
    fleet.observe_all(at(0), Some(1.0));
    fleet.run(0, 2_000);
    fleet.observe_all(at(2_000), Some(1.0));
    fleet.run(2_000, 500);
    let (view, node) = &mut fleet.nodes[0];
    node.observe(at(2_500), &target(), Some(view.started_at_ms), None);
    fleet.run(2_500, 500);
    assert!(fleet.store.records.is_empty());
    assert!(fleet.rates(at(3_000)).iter().all(Option::is_none));
}

/// A limit that a target names again after its end must hold although the old record is still to
/// be removed.
#[test]
fn limits_named_again_at_another_rate() {
    let view = View { rank: 0, nodes: 1, started_at_ms: 1 };
    let mut node = TargetLimits::new();
    let old = LimitRecord { started_at_ms: Some(1), rate_per_s: 8.0 };
    node.stored_mut().put(at(0), target(), ObjectVersion::new(1), old);
    node.observe(at(100), &target(), Some(1), Some(2.0));
    assert!(node.limits(at(100), &view).contains_key(&target()));
    node.stored_mut().remove(&target(), ObjectVersion::new(1));
    assert!(node.limits(at(200), &view).contains_key(&target()));
}

/// All nodes learn of a limit at once; the store must not get a write from each.
#[test]
fn due_writes_of_many_nodes() {
    let mut fleet = Fleet::new(340);
    fleet.observe_all(at(0), Some(1.0));
    fleet.run(0, 3_000);
    assert!(fleet.store.writes <= 2, "{} writes", fleet.store.writes);
}

/// A target that names another rate with each answer must not cause a write for each.
#[test]
fn due_writes_changing_rate() {
    let mut fleet = Fleet::new(8);
    for step in 0..100_u64 {
        let rate_per_s = if step % 2 == 0 { 1.0 } else { 9.0 };
        let (view, node) = &mut fleet.nodes[0];
        node.observe(at(step * 100), &target(), Some(view.started_at_ms), Some(rate_per_s));
        fleet.run(step * 100, 100);
    }
    assert!(fleet.store.writes <= 12, "{} writes in ten seconds", fleet.store.writes);
}

/// A restarted target has no limit until it names one, and one that is gone leaves no record.
#[test]
fn limits_restarted_target() {
    let mut fleet = Fleet::new(2);
    fleet.observe_all(at(0), Some(1.0));
    fleet.run(0, 1_000);
    fleet.nodes.iter_mut().for_each(|(view, _)| view.started_at_ms = 2);
    assert!(fleet.rates(at(1_000)).iter().all(Option::is_none));
    fleet.run(1_000, 40_000);
    assert!(fleet.store.records.is_empty());
}

/// While the store rejects calls, a node acts on what it was told, and asks again after some time.
#[test]
fn limits_store_unavailable() {
    let view = View { rank: 7, nodes: 8, started_at_ms: 1 };
    let mut node = TargetLimits::new();
    node.observe(at(0), &target(), Some(1), Some(1.0));
    for ms in (0..9_900).step_by(100) {
        for write in node.due_writes(at(ms), &view, false) {
            node.written(at(ms), &write, WriteOutcome::Failed);
        }
        assert!(node.limits(at(ms), &view).contains_key(&target()));
    }
    assert!(!node.limits(at(10_000), &view).contains_key(&target()));
}

/// Observations of targets that are gone do not accumulate.
#[test]
fn due_writes_forget_gone_targets() {
    let view = View { rank: 0, nodes: 1, started_at_ms: 1 };
    let mut node = TargetLimits::new();
    node.observe(at(0), &VmName::new("gone"), Some(1), None);
    assert_eq!(node.due_writes(at(0), &view, true), []);
    assert!(node.limits(at(0), &view).is_empty());
}

/// A target that has just started must not get its usual requests from many nodes, nor may a node
/// that starts meanwhile add to them; its entry tells all nodes, without a record.
#[test]
fn limits_cold_target() {
    for nodes in [1, 8, 58, 340] {
        let mut fleet = Fleet::new(nodes);
        for (view, node) in &mut fleet.nodes {
            node.set_cold(at(0), &target(), Some(view.started_at_ms), 3_000);
        }
        fleet.run(0, 1_000);
        let rates = fleet.rates(at(1_000));
        let sum: f64 = rates.iter().flatten().sum();
        assert!((sum - COLD_RATE_PER_S).abs() < 0.001, "{sum} of {nodes} nodes");
        let senders = rates.iter().flatten().filter(|rate| **rate > 0.0).count() as f64;
        // Each sender may have saved one request when the second begins.
        assert!(sum + senders <= 1.5 * COLD_RATE_PER_S + 5.0, "{senders} of {nodes} send");
        assert_eq!(fleet.store.writes, 0);
        assert!(fleet.rates(at(3_000)).iter().all(Option::is_none));
    }
}

/// The lower of both rates holds, and an answer that names no rate does not end the time in which
/// the target is cold.
#[test]
fn limits_cold_target_names_limit() {
    let view = View { rank: 0, nodes: 1, started_at_ms: 1 };
    let mut node = TargetLimits::new();
    node.set_cold(at(0), &target(), Some(1), 5_000);
    node.observe(at(100), &target(), Some(1), Some(4.0));
    assert_eq!(node.limits(at(100), &view)[&target()].rate_per_s, 4.0);
    node.observe(at(200), &target(), Some(1), None);
    assert_eq!(node.limits(at(200), &view)[&target()].rate_per_s, COLD_RATE_PER_S);
}

/// A target may be cold again at any moment, and a restart ends what was known of its last process.
#[test]
fn limits_cold_again() {
    let mut view = View { rank: 0, nodes: 1, started_at_ms: 1 };
    let mut node = TargetLimits::new();
    node.set_cold(at(0), &target(), Some(1), 1_000);
    assert!(node.limits(at(1_000), &view).is_empty());
    node.set_cold(at(2_000), &target(), Some(1), 1_000);
    assert!(!node.limits(at(2_500), &view).is_empty());
    view.started_at_ms = 2;
    assert!(node.limits(at(2_500), &view).is_empty());
}
