//! Assessment of a replica's wholeness from member reports.

use celeryhaven_types::{
    Boot, Fence, Formation, Generation, MemberReport, ModelVersion, ReplicaName, TimeMs, VmName,
};
use celeryhaven_wholeness::{Agreement, Assessment, NotWholeReason};

const REPORT_LIFE_MS: u64 = 1_000;

fn agreement() -> Agreement {
    let members = ["a", "b"].map(VmName::new).to_vec();
    Agreement::new(ReplicaName::new("r"), Generation::new(3), members, REPORT_LIFE_MS)
}

fn report(vm: &str, boot: u64, generation: u64, boots: [u64; 2]) -> MemberReport {
    let formation = Formation {
        replica: ReplicaName::new("r"),
        generation: Generation::new(generation),
        version: ModelVersion::new("v"),
        member_boots: boots.map(Boot::new).to_vec(),
        ready: true,
    };
    MemberReport {
        vm: VmName::new(vm),
        boot: Boot::new(boot),
        formation: Some(formation),
        fence: Fence::new(1),
        running: 0,
        waiting: 0,
        prefill_tokens_queued: 0,
        kv_used_permille: 0,
        tokens_generated: 0,
        load_age_ms: 0,
        adapters_loaded: Vec::new(),
        weights_loaded_bytes: 0,
    }
}

fn reason(agreement: &Agreement, now: u64) -> Option<(String, NotWholeReason)> {
    match agreement.evaluate(TimeMs::new(now)) {
        Assessment::Whole { .. } => None,
        Assessment::NotWhole { vm, reason } => Some((vm.to_string(), reason)),
    }
}

fn whole_at(at: u64) -> Agreement {
    let mut agreement = agreement();
    agreement.apply_report(TimeMs::new(at), &report("a", 1, 3, [1, 2]));
    agreement.apply_report(TimeMs::new(at), &report("b", 2, 3, [1, 2]));
    assert_eq!(reason(&agreement, at), None);
    agreement
}

#[test]
fn evaluate_one_member_silent() {
    let mut agreement = agreement();
    agreement.apply_report(TimeMs::new(0), &report("a", 1, 3, [1, 2]));
    assert_eq!(reason(&agreement, 0), Some(("b".into(), NotWholeReason::NoReport)));
}

#[test]
fn evaluate_report_expired() {
    let mut agreement = whole_at(0);
    agreement.apply_report(TimeMs::new(900), &report("a", 1, 3, [1, 2]));
    assert_eq!(reason(&agreement, 999), None);
    assert_eq!(reason(&agreement, 1_000), Some(("b".into(), NotWholeReason::ReportExpired)));
}

#[test]
fn evaluate_restarted_member_claims_formation() {
    // A restarted member that still claims its old formation must be detected by its boot.
    let mut agreement = whole_at(0);
    agreement.apply_report(TimeMs::new(10), &report("b", 7, 3, [1, 2]));
    assert_eq!(reason(&agreement, 10), Some(("a".into(), NotWholeReason::BootMismatch)));
}

#[test]
fn evaluate_restarted_member_without_formation() {
    let mut agreement = whole_at(0);
    let mut empty = report("b", 7, 3, [1, 2]);
    empty.formation = None;
    agreement.apply_report(TimeMs::new(10), &empty);
    assert!(reason(&agreement, 10).is_some());
}

#[test]
fn evaluate_older_generation() {
    let mut agreement = whole_at(0);
    agreement.apply_report(TimeMs::new(10), &report("b", 2, 2, [1, 2]));
    assert_eq!(reason(&agreement, 10), Some(("b".into(), NotWholeReason::OtherFormation)));
}

#[test]
fn apply_report_out_of_order() {
    // The answer to an earlier poll arrives last and must not replace the later report.
    let mut agreement = whole_at(0);
    agreement.apply_report(TimeMs::new(20), &report("b", 7, 3, [1, 2]));
    agreement.apply_report(TimeMs::new(10), &report("b", 2, 3, [1, 2]));
    assert_eq!(reason(&agreement, 20), Some(("a".into(), NotWholeReason::BootMismatch)));
}

#[test]
fn discard_report_makes_not_whole() {
    let mut agreement = whole_at(0);
    agreement.discard_report(&VmName::new("a"));
    assert_eq!(reason(&agreement, 1), Some(("a".into(), NotWholeReason::NoReport)));
}
