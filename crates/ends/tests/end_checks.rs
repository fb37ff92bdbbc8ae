//! Verdicts on ends, from each kind of evidence.

use celeryhaven_ends::{EndChecks, EndVerdict, Evidence, Finding, Listing, TargetProcess};
use celeryhaven_types::{NodeName, TimeMs, VmName};

/// A check of one process, in virtual time.
struct Check {
    checks: EndChecks,
    process: TargetProcess,
}

impl Check {
    fn begin(own: Finding, peers: usize) -> Self {
        let process = TargetProcess { name: VmName::new("vm-1"), started_at_ms: Some(7) };
        let mut check = Self { checks: EndChecks::new(), process };
        check.checks.begin(TimeMs::new(0), &check.process, own, true);
        assert_eq!(check.checks.take_due(TimeMs::new(0)), [(check.process.clone(), false)]);
        check.checks.asked(&check.process, peers);
        check
    }

    fn answered(&mut self, at_ms: u64, peer: &str, finding: Finding) {
        let (at, peer) = (TimeMs::new(at_ms), NodeName::new(peer));
        self.checks.answered(at, &self.process, &peer, Some(finding));
    }

    fn listed(&mut self, at_ms: u64, listing: Listing) {
        self.checks.look_up(TimeMs::new(at_ms), |_| listing);
    }

    fn verdict(&mut self, at_ms: u64) -> Option<EndVerdict> {
        let verdicts = self.checks.take_verdicts(TimeMs::new(at_ms));
        verdicts.into_iter().next().map(|(_, verdict)| verdict)
    }
}

/// A path that resets must not look like the end of its target.
#[test]
fn verdict_refused_here_accepted_elsewhere() {
    let mut check = Check::begin(Finding::Refused, 3);
    check.answered(4, "b", Finding::Refused);
    assert_eq!(check.verdict(5), None);
    check.answered(40, "c", Finding::Accepted);
    assert_eq!(check.verdict(41), Some(EndVerdict::NotEnded(Evidence::Accepted)));
}

#[test]
fn verdict_refused_everywhere() {
    let ended = Some(EndVerdict::Ended(Evidence::RefusedToPeer));
    for (peers, decided_at_ms) in [(2, 6), (3, 60), (5, 150)] {
        let mut check = Check::begin(Finding::Refused, peers);
        check.answered(4, "b", Finding::Refused);
        check.answered(6, "c", Finding::Unreachable);
        let first = (6..200).find(|at_ms| check.verdict(*at_ms) == ended);
        assert_eq!(first, Some(decided_at_ms), "{peers} peers");
    }
}

/// An end that few refusals have shown must be taken back once a node reaches the target.
#[test]
fn verdict_taken_back() {
    let mut check = Check::begin(Finding::Refused, 1);
    check.answered(4, "b", Finding::Refused);
    assert_eq!(check.verdict(4), Some(EndVerdict::Ended(Evidence::RefusedToPeer)));
    assert_eq!(check.checks.take_due(TimeMs::new(400)).len(), 1);
    check.listed(400, Listing::Same);
    check.answered(410, "c", Finding::Accepted);
    // A process that has just started may not be listed yet.
    assert_eq!(check.verdict(1_409), None);
    assert_eq!(check.verdict(1_410), Some(EndVerdict::NotEnded(Evidence::Accepted)));
}

#[test]
fn verdict_without_peers() {
    let mut check = Check::begin(Finding::Refused, 0);
    assert_eq!(check.verdict(0), Some(EndVerdict::Ended(Evidence::Refused)));
}

/// An end that only a peer can see must not be forgotten.
#[test]
fn verdict_unreachable_here_refused_elsewhere() {
    let mut check = Check::begin(Finding::Unreachable, 1);
    check.answered(9, "b", Finding::Refused);
    assert_eq!(check.verdict(9), Some(EndVerdict::Ended(Evidence::RefusedToPeer)));
}

/// An end that nobody can see must wait for the entry of the next start.
#[test]
fn verdict_restarted_later() {
    let mut check = Check::begin(Finding::Unreachable, 1);
    check.answered(9, "b", Finding::Unreachable);
    assert_eq!(check.verdict(9), Some(EndVerdict::Unsettled));
    check.listed(2_000, Listing::Same);
    assert_eq!(check.verdict(2_000), None);
    check.listed(2_500, Listing::Restarted);
    assert_eq!(check.verdict(2_500), Some(EndVerdict::Ended(Evidence::Restarted)));
}

/// Many paths that reset at once must not look like the ends of as many targets.
#[test]
fn verdict_many_refusals() {
    let mut check = Check::begin(Finding::Refused, 1);
    check.answered(4, "b", Finding::Refused);
    assert_eq!(check.verdict(4), Some(EndVerdict::Ended(Evidence::RefusedToPeer)));
    for number in 0..5 {
        let name = VmName::new(format!("vm-1{number}"));
        check.checks.heard(TimeMs::new(20), &TargetProcess { name, started_at_ms: Some(1) });
    }
    assert_eq!(check.verdict(20), Some(EndVerdict::Unsettled));
    check.listed(100, Listing::Same);
    assert_eq!(check.verdict(6_100), Some(EndVerdict::NotEnded(Evidence::Listed)));
}

/// Targets that have ended one after the other are in no doubt.
#[test]
fn verdict_refusals_apart() {
    let mut check = Check::begin(Finding::Refused, 1);
    for number in 0..8 {
        let name = VmName::new(format!("vm-1{number}"));
        let at = TimeMs::new(100 * number);
        check.checks.heard(at, &TargetProcess { name, started_at_ms: Some(1) });
    }
    check.answered(701, "b", Finding::Refused);
    assert_eq!(check.verdict(701), Some(EndVerdict::Ended(Evidence::RefusedToPeer)));
}

/// A target that nobody reaches for a while must not be taken for ended as long as it is listed.
#[test]
fn verdict_still_listed() {
    let mut check = Check::begin(Finding::Unreachable, 0);
    check.listed(100, Listing::Same);
    assert_eq!(check.verdict(100), Some(EndVerdict::Unsettled));
    // A store that does not answer lists what it held before.
    check.listed(3_000, Listing::Unknown);
    check.listed(4_000, Listing::Same);
    assert_eq!(check.verdict(9_900), None);
    assert_eq!(check.verdict(10_000), Some(EndVerdict::NotEnded(Evidence::Listed)));
}

#[test]
fn verdict_entry_gone() {
    let mut check = Check::begin(Finding::Unreachable, 0);
    check.listed(5_000, Listing::Missing);
    assert_eq!(check.verdict(5_000), Some(EndVerdict::Unsettled));
    assert_eq!(check.verdict(6_000), Some(EndVerdict::Ended(Evidence::Gone)));
}

/// A restarted target that listens at the same address must not acquit what ended it.
#[test]
fn verdict_accepted_after_restart() {
    let mut check = Check::begin(Finding::Unreachable, 0);
    assert_eq!(check.verdict(0), Some(EndVerdict::Unsettled));
    check.listed(1_000, Listing::Missing);
    check.checks.found(TimeMs::new(1_200), &check.process, Finding::Accepted);
    assert_eq!(check.verdict(1_200), None);
    check.listed(1_500, Listing::Restarted);
    assert_eq!(check.verdict(1_500), Some(EndVerdict::Ended(Evidence::Restarted)));
}

/// Every request on an ended target must get the verdict, also one whose connection breaks later.
#[test]
fn verdict_of_second_request() {
    let mut check = Check::begin(Finding::Refused, 0);
    assert!(check.verdict(0).is_some());
    check.checks.begin(TimeMs::new(30), &check.process, Finding::Refused, true);
    assert_eq!(check.checks.take_due(TimeMs::new(30)), []);
    assert_eq!(check.verdict(30), Some(EndVerdict::Ended(Evidence::Refused)));
}

#[test]
fn take_due_repeats_until_settled() {
    let mut check = Check::begin(Finding::Unreachable, 0);
    let due = |check: &mut Check, at_ms| check.checks.take_due(TimeMs::new(at_ms)).len();
    assert_eq!(due(&mut check, 399), 0);
    assert_eq!(due(&mut check, 400), 1);
    check.answered(410, "b", Finding::Refused);
    check.answered(410, "c", Finding::Refused);
    check.answered(411, "d", Finding::Refused);
    assert!(check.verdict(411).is_some());
    assert_eq!(due(&mut check, 1_300), 0);
}
