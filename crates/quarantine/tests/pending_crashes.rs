//! Crashes that wait to be reported.

use celeryhaven_quarantine::{CauseDigest, PendingCrash, PendingCrashes};
use celeryhaven_types::TimeMs;

#[derive(Clone, Debug, PartialEq)]
struct Crash(CauseDigest, &'static str);

impl PendingCrash for Crash {
    fn digest(&self) -> CauseDigest {
        self.0
    }

    fn is_same_as(&self, other: &Self) -> bool {
        self.1 == other.1
    }

    fn ended_at(&self) -> TimeMs {
        at(100)
    }

    fn clear_excuse(&mut self) {}
}

fn at(ms: u64) -> TimeMs {
    TimeMs::new(ms)
}

fn digest(number: u64) -> CauseDigest {
    CauseDigest::of_request(["POST"], &number.to_le_bytes())
}

#[test]
fn take_due_after_settling() {
    let mut pending = PendingCrashes::new();
    pending.record(at(0), Crash(digest(1), "vm-1"), false);
    pending.record(at(500), Crash(digest(1), "vm-2"), false);
    assert_eq!(pending.take_due(at(799), |_| None), []);
    assert_eq!(pending.take_due(at(800), |_| None), [Crash(digest(1), "vm-1")]);
    assert_eq!(pending.take_due(at(1_300), |_| None), [Crash(digest(1), "vm-2")]);
}

/// A popular request that ran on all targets of a rack when it went dark completes elsewhere before
/// its crashes are reported.
#[test]
fn take_due_completed() {
    let mut pending = PendingCrashes::new();
    for target in ["vm-1", "vm-2", "vm-3", "vm-4"] {
        pending.record(at(0), Crash(digest(1), target), false);
    }
    pending.completed(digest(1));
    assert_eq!(pending.take_due(at(10_000), |_| None), []);
}

/// A second attempt that streams is likely to complete, so its crash waits longer, but not for
/// ever.
#[test]
fn take_due_streaming() {
    let mut pending = PendingCrashes::new();
    pending.record(at(0), Crash(digest(1), "vm-1"), false);
    assert_eq!(pending.take_due(at(1_499), |_| Some(500)), []);
    assert_eq!(pending.take_due(at(1_500), |_| Some(500)), [Crash(digest(1), "vm-1")]);
}

/// A popular request with long answers was running on several targets of a rack that went dark, and
/// goes on elsewhere: it must not be reported while a copy runs on.
#[test]
fn take_due_streaming_long() {
    let mut pending = PendingCrashes::new();
    for target in ["vm-1", "vm-2", "vm-3"] {
        pending.record(at(0), Crash(digest(1), target), false);
    }
    assert_eq!(pending.take_due(at(5_000), |_| Some(6_000)), []);
    assert_eq!(pending.take_due(at(8_000), |_| Some(9_000)).len(), 3);
}

/// Several copies of a request on one target are ended by one end of it.
#[test]
fn record_same_target() {
    let mut pending = PendingCrashes::new();
    for _ in 0..5 {
        pending.record(at(0), Crash(digest(1), "vm-1"), false);
    }
    assert_eq!(pending.take_due(at(800), |_| None).len(), 1);
}

/// Memory stays bounded while many targets end.
#[test]
fn record_many_requests() {
    let mut pending = PendingCrashes::new();
    for number in 0..100_000 {
        pending.record(at(0), Crash(digest(number), "vm-1"), false);
    }
    assert_eq!(pending.take_due(at(800), |_| None).len(), 1_024);
}

/// A request that is suspected already must be known everywhere before it ends further targets.
#[test]
fn take_due_urgent() {
    let mut pending = PendingCrashes::new();
    pending.record(at(0), Crash(digest(1), "vm-1"), false);
    pending.record(at(0), Crash(digest(2), "vm-1"), false);
    pending.record(at(10), Crash(digest(1), "vm-2"), true);
    assert_eq!(pending.take_due(at(10), |_| None).len(), 2);
    assert!(!pending.has_other(&Crash(digest(1), "vm-3")));
    assert!(pending.has_other(&Crash(digest(2), "vm-2")));
    assert!(!pending.has_other(&Crash(digest(2), "vm-1")));
}

/// Only a run that began after a crash adds to what the crash says: copies that were under way end with
/// the targets of one rack.
#[test]
fn precede_by_start() {
    let mut pending = PendingCrashes::new();
    pending.record(at(120), Crash(digest(1), "vm-1"), false);
    assert!(!pending.precede(digest(1), at(99)));
    assert!(pending.precede(digest(1), at(100)));
    assert!(!pending.precede(digest(2), at(100)));
}
