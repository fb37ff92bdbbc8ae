//! Quarantine of requests, as the nodes of a fleet see it through the store.

use std::collections::BTreeMap;

use celeryhaven_quarantine::{
    CRASHES_MAX, CauseDigest, Crash, CrashRecord, Quarantine, QuarantineWrite, Standing,
};
use celeryhaven_records::{RecordWrite, WriteOutcome};
use celeryhaven_types::store::ObjectVersion;
use celeryhaven_types::{NodeName, TimeMs, VmName};

const RECORDS_MAX: usize = 256;

/// A store of records with conditional writes.
#[derive(Default)]
struct Store {
    version: u64,
    records: BTreeMap<CauseDigest, (ObjectVersion, CrashRecord)>,
}

impl Store {
    fn execute(&mut self, write: &QuarantineWrite) -> WriteOutcome<CrashRecord> {
        let digest = *write.key();
        let found = self.records.get(&digest).cloned();
        let expected = match write {
            RecordWrite::Put { version, .. } => *version,
            RecordWrite::Delete { version, .. } => Some(*version),
        };
        match (write, found) {
            (_, Some((version, record))) if Some(version) != expected => {
                WriteOutcome::Found(version, record)
            }
            (_, None) if expected.is_some() => WriteOutcome::Missing,
            (RecordWrite::Put { record, .. }, _) => {
                self.version += 1;
                let version = ObjectVersion::new(self.version);
                self.records.insert(digest, (version, record.clone()));
                WriteOutcome::Written(version)
            }
            (RecordWrite::Delete { version, .. }, _) => {
                self.records.remove(&digest);
                WriteOutcome::Written(*version)
            }
        }
    }

    /// Carries out the writes of a node until it has none.
    fn execute_all(&mut self, now: TimeMs, node: &mut Quarantine) {
        for _ in 0..10 {
            for write in node.due_writes(now, false) {
                let outcome = self.execute(&write);
                node.written(now, &write, outcome);
            }
        }
    }

    fn list_to(&self, now: TimeMs, node: &mut Quarantine) {
        let records = self.records.iter();
        let records =
            records.map(|(digest, (version, record))| (*digest, *version, record.clone()));
        node.stored_mut().replace(now, ObjectVersion::new(self.version), records);
        node.note_learned(now);
    }
}

fn at(ms: u64) -> TimeMs {
    TimeMs::new(1_000_000 + ms)
}

fn digest(number: usize) -> CauseDigest {
    CauseDigest::of_request(["POST"], &number.to_le_bytes())
}

fn crash(target: &str) -> CrashRecord {
    let crash = Crash {
        target: VmName::new(target),
        started_at_ms: Some(1),
        node: NodeName::new("entry-1"),
        refuted: false,
        excused: false,
        outlived: false,
    };
    CrashRecord { route: "r".into(), crashes: vec![crash], ..CrashRecord::default() }
}

/// Reports that a run of a request that began at a time has completed.
fn complete(node: &mut Quarantine, sent_at: TimeMs, digest: CauseDigest) {
    if let Some(addition) = node.refutation(digest, sent_at) {
        node.report(sent_at, digest, &addition);
    }
}

fn is_quarantined(node: &Quarantine, digest: CauseDigest) -> bool {
    node.standings().get(&digest).is_some_and(|standing| standing.is_quarantined())
}

/// Reports crashes of distinct targets and writes them.
fn quarantine(store: &mut Store, node: &mut Quarantine, digest: CauseDigest) {
    for target in ["vm-1", "vm-2", "vm-3"] {
        node.report(at(0), digest, &crash(&format!("{target}-{digest}")));
    }
    store.execute_all(at(0), node);
}

/// Three nodes that each saw one crash must all refuse the request, and so must one that starts.
#[test]
fn report_by_several_nodes() {
    let mut store = Store::default();
    let mut nodes = [Quarantine::new(), Quarantine::new(), Quarantine::new()];
    for (node, target) in nodes.iter_mut().zip(["vm-1", "vm-2", "vm-3"]) {
        node.report(at(0), digest(1), &crash(target));
        store.execute_all(at(0), node);
    }
    let mut started = Quarantine::new();
    for node in nodes.iter_mut().chain([&mut started]) {
        store.list_to(at(100), node);
        assert!(is_quarantined(node, digest(1)));
    }
}

/// One end that several nodes saw, or a write repeated after a lost answer, must count once.
#[test]
fn report_of_same_end() {
    let mut store = Store::default();
    let mut nodes = [Quarantine::new(), Quarantine::new(), Quarantine::new()];
    for node in &mut nodes {
        node.report(at(0), digest(1), &crash("vm-1"));
        let lost = node.due_writes(at(0), false);
        lost.iter().for_each(|write| drop(store.execute(write)));
        lost.iter().for_each(|write| node.written(at(0), write, WriteOutcome::Failed));
        store.execute_all(at(1_000), node);
    }
    store.list_to(at(1_000), &mut nodes[0]);
    assert_eq!(nodes[0].record(digest(1)).map(|record| record.crashes.len()), Some(1));
    assert_eq!(nodes[0].standings().get(&digest(1)), Some(&Standing::Suspected));
}

/// A node must refuse what it has seen itself while the store rejects its reports, and write them
/// once the store accepts them.
#[test]
fn report_store_unavailable() {
    let mut node = Quarantine::new();
    for target in ["vm-1", "vm-2", "vm-3"] {
        node.report(at(0), digest(1), &crash(target));
    }
    for ms in (0..5_000).step_by(100) {
        for write in node.due_writes(at(ms), false) {
            node.written(at(ms), &write, WriteOutcome::Failed);
        }
        assert!(is_quarantined(&node, digest(1)));
    }
    let mut store = Store::default();
    store.execute_all(at(6_000), &mut node);
    assert_eq!(store.records[&digest(1)].1.crashes.len(), CRASHES_MAX);
}

/// A request that completes after its crashes does not end every target that runs it, and one further
/// crash must not quarantine it again.
#[test]
fn refutation_of_all_crashes() {
    let mut store = Store::default();
    let (mut node, mut other) = (Quarantine::new(), Quarantine::new());
    quarantine(&mut store, &mut node, digest(1));
    store.list_to(at(100), &mut other);
    complete(&mut other, at(100), digest(1));
    assert!(!is_quarantined(&other, digest(1)));
    store.execute_all(at(100), &mut other);
    node.report(at(150), digest(1), &crash("vm-4"));
    store.execute_all(at(150), &mut node);
    store.list_to(at(200), &mut node);
    assert!(!is_quarantined(&node, digest(1)));
}

/// A run that began before a node knew of the crashes says nothing about them.
#[test]
fn refutation_by_earlier_run() {
    let (mut store, mut node) = (Store::default(), Quarantine::new());
    quarantine(&mut store, &mut node, digest(1));
    store.list_to(at(100), &mut node);
    let addition = node.refutation(digest(1), at(99)).unwrap();
    assert!(addition.crashes.iter().all(|crash| !crash.refuted));
    // It shows that the request did not end every target, so that more crashes are needed.
    node.report(at(100), digest(1), &addition);
    assert!(!is_quarantined(&node, digest(1)));
    node.report(at(110), digest(1), &crash("vm-4"));
    assert!(!is_quarantined(&node, digest(1)));
    node.report(at(120), digest(1), &crash("vm-5"));
    assert!(is_quarantined(&node, digest(1)));
}

/// A retry that began before its node had made sure of the crash refutes it.
#[test]
fn refutation_by_retry() {
    let mut node = Quarantine::new();
    let record = crash("vm-1");
    node.note_seen(at(0), digest(1), &record.crashes[0]);
    node.report(at(30), digest(1), &record);
    node.note_learned(at(30));
    assert!(node.refutation(digest(1), at(3)).is_some());
}

/// A request that completed once must be quarantined when it ends three targets afterwards.
#[test]
fn refutation_before_crashes() {
    let (mut store, mut node) = (Store::default(), Quarantine::new());
    node.report(at(0), digest(1), &crash("vm-0"));
    store.execute_all(at(0), &mut node);
    store.list_to(at(0), &mut node);
    complete(&mut node, at(100), digest(1));
    store.execute_all(at(100), &mut node);
    quarantine(&mut store, &mut node, digest(1));
    assert!(is_quarantined(&node, digest(1)));
}

/// Crashes and completions in turn must not grow a record, and the last crashes count.
#[test]
fn refutation_many_times() {
    let (mut store, mut node) = (Store::default(), Quarantine::new());
    for round in 0..100 {
        node.report(at(round), digest(1), &crash(&format!("vm-{round}")));
        store.execute_all(at(round), &mut node);
        store.list_to(at(round), &mut node);
        complete(&mut node, at(round), digest(1));
        store.execute_all(at(round), &mut node);
    }
    assert!(store.records[&digest(1)].1.crashes.len() <= 8);
    quarantine(&mut store, &mut node, digest(1));
    assert!(is_quarantined(&node, digest(1)));
}

/// A completion alone must not be written: every request completes.
#[test]
fn refutation_without_record() {
    assert_eq!(Quarantine::new().refutation(digest(1), at(0)), None);
}

/// Nodes that try at the same time must be granted one trial together, and two in all.
#[test]
fn claim_trial_by_several_nodes() {
    let mut store = Store::default();
    let mut nodes = [Quarantine::new(), Quarantine::new(), Quarantine::new()];
    quarantine(&mut store, &mut nodes[0], digest(1));
    nodes.iter_mut().for_each(|node| store.list_to(at(0), node));
    let mut granted = Vec::new();
    for ms in (0..1_800_000).step_by(100) {
        let claims: Vec<_> = nodes.iter().map(|node| node.claim_trial(at(ms), digest(1))).collect();
        for (node, claim) in nodes.iter_mut().zip(claims) {
            let Some(write) = claim else { continue };
            let outcome = store.execute(&write);
            if matches!(outcome, WriteOutcome::Written(_)) {
                granted.push(ms);
            }
            node.written(at(ms), &write, outcome);
        }
    }
    assert_eq!(granted, [5_000, 35_000]);
}

/// A request that was quarantined by coincidence time and again must be tried each time.
#[test]
fn claim_trial_after_completions() {
    let (mut store, mut node) = (Store::default(), Quarantine::new());
    for round in 0..4 {
        let now = at(round * 100_000);
        for target in 0..3 {
            node.report(now, digest(1), &crash(&format!("vm-{round}-{target}")));
        }
        store.execute_all(now, &mut node);
        store.list_to(now, &mut node);
        assert!(is_quarantined(&node, digest(1)));
        let tried_at = now.after(5_000);
        let claim = node.claim_trial(tried_at, digest(1)).expect("a trial is due");
        let outcome = store.execute(&claim);
        node.written(tried_at, &claim, outcome);
        complete(&mut node, tried_at, digest(1));
        store.execute_all(tried_at, &mut node);
        assert!(!is_quarantined(&node, digest(1)));
    }
}

/// A request that has ended more targets than one cause may must not end another for a trial.
#[test]
fn claim_trial_after_many_crashes() {
    let (mut store, mut node) = (Store::default(), Quarantine::new());
    for target in ["vm-4", "vm-5"] {
        node.report(at(0), digest(1), &crash(target));
    }
    quarantine(&mut store, &mut node, digest(1));
    let claims = (0..1_800_000).step_by(1_000).filter_map(|ms| node.claim_trial(at(ms), digest(1)));
    assert_eq!(claims.count(), 0);
    assert_eq!(node.standings()[&digest(1)], Standing::Quarantined { trial_at: None });
}

/// A flood of distinct suspected requests must not make the fleet forget a quarantined one, and the
/// number of records stays bounded.
#[test]
fn due_writes_flood() {
    let (mut store, mut node) = (Store::default(), Quarantine::new());
    quarantine(&mut store, &mut node, digest(0));
    let twice_suspected = digest(usize::MAX);
    node.report(at(0), twice_suspected, &crash("vm-1"));
    node.report(at(0), twice_suspected, &crash("vm-2"));
    store.execute_all(at(0), &mut node);
    for number in 1..4 * RECORDS_MAX {
        node.report(at(number as u64), digest(number), &crash("vm-1"));
        store.execute_all(at(number as u64), &mut node);
    }
    assert!(store.records.len() <= RECORDS_MAX, "{} records", store.records.len());
    assert!(is_quarantined(&node, digest(0)));
    assert!(store.records.contains_key(&twice_suspected));
    let last = digest(4 * RECORDS_MAX - 1);
    assert!(store.records.contains_key(&last), "the newest report was not written");
}

/// Where every record is of a quarantined request, a new one is refused by the node that saw it and
/// the number of records stays bounded.
#[test]
fn due_writes_all_quarantined() {
    let (mut store, mut node) = (Store::default(), Quarantine::new());
    for number in 0..=RECORDS_MAX {
        quarantine(&mut store, &mut node, digest(number));
    }
    assert_eq!(store.records.len(), RECORDS_MAX);
    assert!(is_quarantined(&node, digest(RECORDS_MAX)));
}

/// Records are removed after their retention period: quarantined ones later than others.
#[test]
fn due_writes_expired() {
    let (mut store, mut node) = (Store::default(), Quarantine::new());
    quarantine(&mut store, &mut node, digest(1));
    node.report(at(0), digest(2), &crash("vm-1"));
    store.execute_all(at(0), &mut node);
    let mut removed = Vec::new();
    for ms in (0..3_600_000).step_by(1_000) {
        for write in node.due_writes(at(ms), true) {
            let outcome = store.execute(&write);
            removed.push((*write.key(), ms));
            node.written(at(ms), &write, outcome);
        }
    }
    assert_eq!(removed, [(digest(2), 120_000), (digest(1), 1_800_000)]);
    assert!(node.standings().is_empty());
}

/// A list of a relay that is behind must not undo this node's last write.
#[test]
fn replace_by_older_list() {
    let (mut store, mut node) = (Store::default(), Quarantine::new());
    quarantine(&mut store, &mut node, digest(1));
    node.stored_mut().replace(at(0), ObjectVersion::new(0), []);
    assert!(is_quarantined(&node, digest(1)));
    node.stored_mut().replace(at(0), ObjectVersion::new(store.version + 1), []);
    assert!(!is_quarantined(&node, digest(1)), "an operator has removed the record");
}
