//! When a node knows that it has lost its links.

use celeryhaven_isolation::{CheckOutcome, IsolationDetector, LinkChange};
use celeryhaven_types::{ServiceName, TimeMs};

fn at(ms: u64) -> TimeMs {
    TimeMs::new(ms)
}

fn service() -> ServiceName {
    ServiceName::new("models")
}

fn isolated_at(ms: u64) -> IsolationDetector {
    let mut detector = IsolationDetector::new();
    detector.begin_check(at(ms), &service());
    let change = detector.check_ended(at(ms), &service(), CheckOutcome::Unreachable);
    assert_eq!(change, Some(LinkChange::Isolated));
    detector
}

#[test]
fn take_due_checks_answered() {
    let mut detector = IsolationDetector::new();
    detector.sent(at(0), &service());
    detector.received(&service());
    assert!(detector.take_due_checks(at(60_000)).is_empty());
}

/// A cut without resets shows only as silence.
#[test]
fn take_due_checks_silence() {
    let mut detector = IsolationDetector::new();
    detector.sent(at(0), &service());
    detector.sent(at(290), &service());
    assert!(detector.take_due_checks(at(299)).is_empty());
    assert_eq!(detector.take_due_checks(at(300)).len(), 1);
    assert!(detector.take_due_checks(at(5_000)).is_empty(), "one check at a time");
}

/// Targets that are slow must not make the node open connections all the time.
#[test]
fn take_due_checks_repeated_silence() {
    let mut detector = IsolationDetector::new();
    let mut checks = 0;
    for ms in 0..10_000 {
        detector.sent(at(ms), &service());
        for _ in detector.take_due_checks(at(ms)) {
            checks += 1;
            detector.check_ended(at(ms), &service(), CheckOutcome::Reached);
        }
    }
    assert_eq!(checks, 10);
    assert!(!detector.is_isolated(&service()));
}

/// Open connections may live on while new ones are refused.
#[test]
fn is_isolated_open_connections_live_on() {
    let mut detector = isolated_at(0);
    detector.received(&service());
    assert!(detector.is_isolated(&service()));
}

#[test]
fn connected_ends_isolation() {
    let mut detector = isolated_at(0);
    assert_eq!(detector.connected(at(500), &service()), Some(LinkChange::Restored));
    assert!(!detector.is_isolated(&service()));
}

/// A connection that was opened while a check ran shows more than the check.
#[test]
fn check_ended_connected_meanwhile() {
    let mut detector = IsolationDetector::new();
    detector.begin_check(at(0), &service());
    detector.connected(at(10), &service());
    let change = detector.check_ended(at(300), &service(), CheckOutcome::Unreachable);
    assert_eq!((change, detector.is_isolated(&service())), (None, false));
}

#[test]
fn check_ended_no_targets() {
    let mut detector = isolated_at(0);
    detector.begin_check(at(300), &service());
    let change = detector.check_ended(at(301), &service(), CheckOutcome::NoTargets);
    assert_eq!(change, Some(LinkChange::Restored));
}

#[test]
fn take_due_checks_while_isolated() {
    let mut detector = isolated_at(0);
    let mut checks = Vec::new();
    for ms in 0..1_000 {
        checks.extend(detector.take_due_checks(at(ms)).iter().map(|check| check.targets_max));
        detector.check_ended(at(ms), &service(), CheckOutcome::Unreachable);
    }
    assert_eq!(checks, [2, 2, 2]);
}

#[test]
fn is_isolated_other_service() {
    assert!(!isolated_at(0).is_isolated(&ServiceName::new("portal")));
}
