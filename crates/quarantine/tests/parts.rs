//! Which of the causes is quarantined that the requests on ended targets share.

use celeryhaven_quarantine::{CauseDigest, CauseKind, Crash, CrashRecord, Quarantine};
use celeryhaven_types::{NodeName, TimeMs, VmName};

const FIRST_PART: CauseKind = CauseKind::Part { depth: 0 };
const SECOND_PART: CauseKind = CauseKind::Part { depth: 1 };

fn at(ms: u64) -> TimeMs {
    TimeMs::new(1_000_000 + ms)
}

fn part(id: &str) -> CauseDigest {
    CauseDigest::of_part("models", id)
}

fn content(number: u64) -> CauseDigest {
    CauseDigest::of_request(["POST"], &number.to_le_bytes())
}

fn crash(target: &str, excused: bool) -> Crash {
    let (target, node) = (VmName::new(target), NodeName::new("entry-1"));
    Crash { target, started_at_ms: Some(1), node, refuted: false, excused, outlived: false }
}

/// Reports that these targets ended while they ran a cause.
fn report(
    node: &mut Quarantine,
    digest: CauseDigest,
    kind: CauseKind,
    targets: &[&str],
    excused: bool,
) {
    let crashes = targets.iter().map(|target| crash(target, excused)).collect();
    let record = CrashRecord { kind, route: "r".into(), crashes, ..CrashRecord::default() };
    node.report(at(0), digest, &record);
    node.note_learned(at(0));
}

fn quarantined(node: &Quarantine) -> Vec<CauseDigest> {
    let standings = node.standings();
    let quarantined = standings.iter().filter(|(_, standing)| standing.is_quarantined());
    quarantined.map(|(digest, _)| *digest).collect()
}

/// Requests that are never alike reach the number of crashes only together, by the part they share.
#[test]
fn standings_of_distinct_contents() {
    let mut node = Quarantine::new();
    for (number, target) in (0..).zip(["vm-1", "vm-2", "vm-3"]) {
        report(&mut node, content(number), CauseKind::Content, &[target], false);
        report(&mut node, part("bad"), SECOND_PART, &[target], false);
    }
    assert_eq!(quarantined(&node), [part("bad")]);
}

/// A first part that the crashing requests share with sound ones must not be quarantined with the part
/// that explains its crashes, even if no node knows it to be sound.
#[test]
fn standings_of_shared_first_part() {
    let mut node = Quarantine::new();
    let targets = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"];
    report(&mut node, part("first"), FIRST_PART, &targets, false);
    report(&mut node, part("bad"), SECOND_PART, &targets, false);
    assert_eq!(quarantined(&node), [part("bad")]);
    assert!(node.is_explained(part("first"), &crash("vm-6", false)));
    assert!(!node.is_explained(part("first"), &crash("vm-7", false)));
    assert!(!node.is_explained(part("bad"), &crash("vm-6", false)));
}

/// A first part that crashes targets is quarantined although each request has a second one.
#[test]
fn standings_of_crashing_first_part() {
    let mut node = Quarantine::new();
    for target in ["vm-1", "vm-2", "vm-3"] {
        report(&mut node, part("first"), FIRST_PART, &[target], false);
        report(&mut node, part(target), SECOND_PART, &[target], false);
    }
    assert_eq!(quarantined(&node), [part("first")]);
}

/// A part that targets have run lately needs more crashes, as popular parts are on most targets.
#[test]
fn standings_of_sound_part() {
    let mut node = Quarantine::new();
    report(&mut node, part("popular"), FIRST_PART, &["vm-1", "vm-2", "vm-3", "vm-4"], true);
    assert_eq!(quarantined(&node), []);
    report(&mut node, part("popular"), FIRST_PART, &["vm-5"], true);
    assert_eq!(quarantined(&node), [part("popular")]);
}

/// A part that one node knows to be sound and another one does not is not excused.
#[test]
fn standings_of_part_sound_at_one_node() {
    let mut node = Quarantine::new();
    report(&mut node, part("bad"), FIRST_PART, &["vm-1", "vm-2", "vm-3"], true);
    report(&mut node, part("bad"), FIRST_PART, &["vm-1", "vm-2", "vm-3"], false);
    assert_eq!(quarantined(&node), [part("bad")]);
}

/// The parts of a content that crashes targets must not be quarantined with it: sound requests share
/// them.
#[test]
fn standings_of_crashing_content() {
    let mut node = Quarantine::new();
    let targets = ["vm-1", "vm-2", "vm-3"];
    report(&mut node, content(1), CauseKind::Content, &targets, false);
    report(&mut node, part("first"), FIRST_PART, &targets, false);
    report(&mut node, part("session"), SECOND_PART, &targets, false);
    assert_eq!(quarantined(&node), [content(1)]);
}

/// The repeats of one request must not hide the part that others crash targets with.
#[test]
fn standings_of_repeated_content() {
    let mut node = Quarantine::new();
    report(&mut node, content(1), CauseKind::Content, &["vm-1", "vm-2", "vm-3"], false);
    report(&mut node, part("bad"), SECOND_PART, &["vm-1", "vm-2", "vm-3"], false);
    report(&mut node, part("bad"), SECOND_PART, &["vm-4"], false);
    assert_eq!(quarantined(&node), [part("bad")]);
}

/// Two causes that crash targets at the same time must both be quarantined.
#[test]
fn standings_of_two_causes() {
    let mut node = Quarantine::new();
    report(&mut node, part("bad"), SECOND_PART, &["vm-1", "vm-2", "vm-3"], false);
    report(&mut node, content(1), CauseKind::Content, &["vm-2", "vm-3", "vm-5", "vm-6"], false);
    let mut expected = [part("bad"), content(1)];
    expected.sort();
    // The shared targets speak for the content, which leaves one for the part.
    assert_eq!(quarantined(&node), [content(1)]);
    report(&mut node, part("bad"), SECOND_PART, &["vm-7"], false);
    assert_eq!(quarantined(&node), expected);
}

/// A cause that was quarantined must not be let in again because another one explains one of its crashes.
#[test]
fn standings_of_two_causes_with_one_common_crash() {
    let mut node = Quarantine::new();
    report(&mut node, content(1), CauseKind::Content, &["vm-1", "vm-2", "vm-3"], false);
    report(&mut node, part("bad"), SECOND_PART, &["vm-3", "vm-4"], false);
    assert_eq!(quarantined(&node), [content(1)]);
    let mut expected = [part("bad"), content(1)];
    expected.sort();
    for target in ["vm-5", "vm-6", "vm-7"] {
        report(&mut node, part("bad"), SECOND_PART, &[target], false);
        assert_eq!(quarantined(&node), expected);
    }
}

/// A cause that ran beside a guilty one on two of three targets, or that others have run, stays free.
#[test]
fn standings_of_bystanders() {
    let mut node = Quarantine::new();
    let targets = ["vm-1", "vm-2", "vm-3", "vm-4"];
    report(&mut node, part("bad"), SECOND_PART, &targets, false);
    report(&mut node, content(1), CauseKind::Content, &["vm-1", "vm-2", "vm-5"], false);
    report(&mut node, content(2), CauseKind::Content, &["vm-1", "vm-5", "vm-6"], true);
    report(&mut node, content(3), CauseKind::Content, &["vm-1", "vm-6"], false);
    assert_eq!(quarantined(&node), [part("bad")]);
}

/// A part whose runs complete is let in again, and what it had explained counts against nobody that
/// completed as well.
#[test]
fn refutation_of_part() {
    let mut node = Quarantine::new();
    let targets = ["vm-1", "vm-2", "vm-3"];
    report(&mut node, part("first"), FIRST_PART, &targets, false);
    report(&mut node, part("second"), SECOND_PART, &targets, false);
    assert_eq!(quarantined(&node), [part("second")]);
    for digest in [part("first"), part("second")] {
        let addition = node.refutation(digest, at(10)).unwrap();
        node.report(at(20), digest, &addition);
    }
    assert_eq!(quarantined(&node), []);
}

/// Many records cost little time, as each node weighs them at every change.
#[test]
fn standings_of_many_records() {
    let mut node = Quarantine::new();
    for number in 0..256 {
        let targets = (0..3).map(|target| format!("vm-{number}-{target}"));
        let targets: Vec<String> = targets.collect();
        let targets: Vec<&str> = targets.iter().map(String::as_str).collect();
        report(&mut node, content(number), CauseKind::Content, &targets, false);
    }
    assert_eq!(quarantined(&node).len(), 256);
}
