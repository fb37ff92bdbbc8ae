//! Accepted command lines, exit codes and output.

use celeryhaven_ctl::{Args, ArgsError, Command, CtlError, ExitStatus, FileKind, check_file, show};
use celeryhaven_types::{
    Change, ChangeRecord, ConfigNumber, DataCentreName, OperatorName, OperatorRefusal,
    OperatorReply, OperatorRequest, PlanId, VmName,
};

fn command(words: &[&str]) -> Command {
    let words = ["--settings", "ctl.yaml"].iter().chain(words).copied();
    Args::from_words(words).expect("accepted").expect("no help").command
}

fn refused(words: &[&str]) -> ArgsError {
    Args::from_words(words.iter().copied()).expect_err("refused")
}

#[test]
fn confirm_takes_several_without() {
    let found = command(&["confirm", "9f3a", "--without", "riga-1", "--without", "riga-2"]);
    let without = ["riga-1", "riga-2"].map(DataCentreName::new).to_vec();
    let plan = PlanId::new("9f3a");
    assert_eq!(found, Command::Ask(OperatorRequest::Confirm { plan, without }));
}

#[test]
fn drain_undo_is_not_drained() {
    let vm = VmName::new("engine-0");
    let found = command(&["drain", "vm", "engine-0", "--undo"]);
    assert_eq!(found, Command::Ask(OperatorRequest::DrainVm { vm, drained: false }));
}

#[test]
fn bad_command_lines_are_refused() {
    assert!(matches!(refused(&[]), ArgsError::NoCommand));
    assert!(matches!(refused(&["destroy"]), ArgsError::UnknownCommand { .. }));
    assert!(matches!(refused(&["status"]), ArgsError::NoControllers));
    let words = ["--settings", "ctl.yaml", "drain", "rack", "r1"];
    assert!(matches!(refused(&words), ArgsError::DrainKind { .. }));
    let words = ["--settings", "ctl.yaml", "status", "--all"];
    assert!(refused(&words).to_string().contains("--all"));
}

#[test]
fn check_needs_no_controllers() {
    assert!(Args::from_words(["check", "intent.yaml"]).expect("accepted").is_some());
}

/// An exit code that scripts depend on changes.
#[test]
fn exit_status_by_answer() {
    let status = |refusal| ExitStatus::from(&OperatorReply::Refused(refusal)) as u8;
    let (plan, number) = (PlanId::new("9f3a"), ConfigNumber::new(2));
    let by = OperatorName::new("zane");
    let conflict = OperatorRefusal::Conflict { base: number, current: number, by: by.clone() };
    assert_eq!(status(conflict), 3);
    assert_eq!(status(OperatorRefusal::AlreadyConfirmed { plan, number, by }), 4);
    assert_eq!(status(OperatorRefusal::StoreUnavailable), 5);
    assert_eq!(status(OperatorRefusal::OutcomeUnknown), 7);
    assert_eq!(status(OperatorRefusal::BadIntent { problems: Vec::new() }), 2);
    let unreachable = CtlError::Unreachable { tried: String::new() };
    assert_eq!(ExitStatus::from(&unreachable) as u8, 6);
}

#[test]
fn audit_shows_time_and_operator() {
    let record = ChangeRecord {
        number: ConfigNumber::new(2),
        from_number: ConfigNumber::new(1),
        operator: OperatorName::new("zane"),
        at_unix_ms: 1_700_000_000_000,
        change: Change::Initial,
        summary: vec!["form 2 of draft".to_owned()],
    };
    let text = show(&OperatorReply::Audit(vec![record]));
    assert!(
        text.contains("2       1     2023-11-14T22:13:20Z  zane      form 2 of draft"),
        "{text}"
    );
}

#[test]
fn check_file_infers_example_kinds() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/riga-fleet");
    let kind = |name: &str| check_file(&format!("{root}/{name}"), None).expect("accepted");
    assert_eq!(kind("intent.yaml"), FileKind::Intent);
    assert_eq!(kind("entry.yaml"), FileKind::Entry);
    assert_eq!(kind("controller.yaml"), FileKind::Controller);
    assert_eq!(kind("operator.yaml"), FileKind::Operator);
}
