//! Targets whose entry is removed while they serve.

use celeryhaven_fleet::{
    AnswerRun, FleetView, MemberState, Membership, TargetEntry, TargetPhase, UnlistedEnd,
};
use celeryhaven_types::{
    DataCentreName, DomainName, Generation, ModelName, ReplicaName, ServiceName, TimeMs, VmName,
};

const NOW: TimeMs = TimeMs::new(1_000);
const SIZE: u32 = 3;

fn name(rank: u32) -> VmName {
    VmName::new(format!("t{rank}"))
}

/// A member of a serving replica.
fn member(rank: u32) -> TargetEntry {
    let state = if rank == 0 { MemberState::Open } else { MemberState::Ready };
    let (replica, generation) = (ReplicaName::new("r"), Generation::new(1));
    TargetEntry {
        name: name(rank),
        service: ServiceName::new("s"),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: DataCentreName::new("a"),
        domain: Some(DomainName::new("d")),
        slots: 4,
        phase: TargetPhase::Ready,
        started_at_ms: Some(7),
        report_number: None,
        cold_ms: 0,
        membership: Some(Membership { replica, generation, rank, state }),
        model: Some(ModelName::new("m")),
        staged: Vec::new(),
    }
}

fn with_state(rank: u32, state: MemberState) -> TargetEntry {
    let membership = member(rank).membership.map(|before| Membership { state, ..before });
    TargetEntry { membership, ..member(rank) }
}

fn serving() -> FleetView {
    let mut fleet = FleetView::new();
    (0..SIZE).for_each(|rank| {
        fleet.put(member(rank));
    });
    fleet
}

fn is_whole(fleet: &FleetView) -> bool {
    fleet.replicas().values().any(|replica| replica.is_whole(SIZE as usize))
}

fn answer(fleet: &mut FleetView, at_ms: u64, rank: u32, closes: bool) -> bool {
    let mut answers = AnswerRun::default();
    answers.observe(NOW.after(at_ms), closes);
    fleet.record_answers(NOW.after(at_ms), (&name(rank), Some(7)), &answers)
}

fn last_end(fleet: &mut FleetView) -> Option<UnlistedEnd> {
    fleet.take_unlisted_changes().last().and_then(|change| change.end)
}

/// A replica must not lose its requests because entries of members that serve were removed.
#[test]
fn remove_members_of_whole_replica() {
    let mut fleet = serving();
    for rank in [2, 0, 1] {
        assert!(fleet.remove(NOW, &name(rank)));
        assert!(!fleet.remove(NOW, &name(rank)), "removed again by a later list");
        assert!(fleet.is_lapsed(&name(rank)));
        assert!(is_whole(&fleet));
    }
    assert_eq!(fleet.unlisted_heads().count(), 1);
    assert!(fleet.put(member(0)));
    assert_eq!(last_end(&mut fleet), Some(UnlistedEnd::Listed));
    assert!(is_whole(&fleet) && !fleet.is_lapsed(&name(0)));
}

/// A replica that was not whole, or serves no longer, must get no requests for an unlisted member, and
/// entries of its dead members must not stay.
#[test]
fn remove_members_of_other_replicas() {
    let others = [
        with_state(0, MemberState::Closing),
        with_state(0, MemberState::Ready),
        with_state(0, MemberState::Broken),
        with_state(1, MemberState::Joining),
        TargetEntry { phase: TargetPhase::Draining, ..member(1) },
        TargetEntry { membership: None, ..member(1) },
    ];
    for other in others {
        let mut before = serving();
        before.put(other.clone());
        before.remove(NOW, &name(2));
        assert_eq!(before.target(&name(2)), None, "{other:?}");
        let mut after = serving();
        after.remove(NOW, &name(2));
        after.put(other.clone());
        assert_eq!(after.target(&name(2)), None, "{other:?}");
        assert_eq!(last_end(&mut after), Some(UnlistedEnd::ReplicaNotWhole));
        assert!(!is_whole(&before) && !is_whole(&after));
    }
    let mut incomplete = FleetView::new();
    incomplete.put(member(1));
    incomplete.remove(NOW, &name(1));
    assert_eq!(incomplete.target(&name(1)), None);
    let mut drains = serving();
    drains.put(TargetEntry { phase: TargetPhase::Draining, ..member(1) });
    drains.remove(NOW, &name(1));
    assert_eq!(drains.target(&name(1)), None);
}

/// A lost member must take the replica's other unlisted members with it.
#[test]
fn record_unreachable_drops_the_replica() {
    let mut fleet = serving();
    (0..SIZE).for_each(|rank| {
        fleet.remove(NOW, &name(rank));
    });
    assert!(fleet.record_unreachable(NOW, &name(1)));
    assert!(!fleet.record_unreachable(NOW, &name(1)));
    assert_eq!(fleet.targets().count(), 0);
    assert!(fleet.target_or_removed(&name(0)).is_some(), "it must be reachable for orders");
}

/// Single answers that close their connection must not end a target; two in a row show that it leaves,
/// also across two reads of the account.
#[test]
fn record_answers_closing() {
    for rank in [0, 2] {
        let mut fleet = serving();
        fleet.remove(NOW, &name(rank));
        for (at_ms, closes) in [(10, true), (20, false), (30, true), (40, false), (50, true)] {
            assert!(!answer(&mut fleet, at_ms, rank, closes));
        }
        assert!(is_whole(&fleet));
        assert!(answer(&mut fleet, 60, rank, true));
        assert!(!is_whole(&fleet));
        assert_eq!(last_end(&mut fleet), Some(UnlistedEnd::Leaving));
    }
}

/// Answers of an earlier process must not speak for the one that is unlisted, nor answers of a target
/// that is listed.
#[test]
fn record_answers_of_other_processes() {
    let mut fleet = serving();
    let mut answers = AnswerRun::default();
    (0..2).for_each(|at| answers.observe(NOW.after(at), true));
    assert!(!fleet.record_answers(NOW, (&name(0), Some(7)), &answers));
    fleet.remove(NOW, &name(0));
    assert!(!fleet.record_answers(NOW, (&name(0), Some(6)), &answers));
    assert!(is_whole(&fleet));
}

/// A head that gives no answer for 2.5 s must get no requests until it answers, and must not stay for
/// ever.
#[test]
fn expire_unanswered_head() {
    let mut fleet = serving();
    fleet.remove(NOW, &name(0));
    assert!(!fleet.expire(NOW.after(2_499)));
    assert!(fleet.expire(NOW.after(2_500)) && fleet.is_unanswered(&name(0)));
    assert!(!fleet.expire(NOW.after(2_600)));
    assert!(answer(&mut fleet, 3_000, 0, false) && !fleet.is_unanswered(&name(0)));
    assert!(fleet.expire(NOW.after(5_500)) && fleet.is_unanswered(&name(0)));
    assert!(fleet.expire(NOW.after(18_000)));
    assert_eq!(last_end(&mut fleet), Some(UnlistedEnd::Unanswered));
    assert_eq!(fleet.unlisted_targets().count(), 0);
}

/// A head that leaves and gives a single answer must get no requests from 3 s after the removal.
#[test]
fn expire_head_with_one_closing_answer() {
    let mut fleet = serving();
    fleet.remove(NOW, &name(0));
    answer(&mut fleet, 900, 0, true);
    assert!(!fleet.expire(NOW.after(2_400)));
    assert!(fleet.expire(NOW.after(2_500)) && fleet.is_unanswered(&name(0)));
}

/// A new process under the name of an unlisted target holds none of its state.
#[test]
fn put_restarted() {
    let mut fleet = serving();
    fleet.remove(NOW, &name(1));
    let restarted = TargetEntry { started_at_ms: Some(8), membership: None, ..member(1) };
    assert!(fleet.put(restarted));
    assert_eq!(last_end(&mut fleet), Some(UnlistedEnd::Restarted));
    assert!(!is_whole(&fleet));
}

/// A plain target serves on without an entry until it is silent; a free engine target serves nothing and
/// must not stay.
#[test]
fn remove_targets_without_replica() {
    let mut fleet = FleetView::new();
    let free = TargetEntry { membership: None, ..member(0) };
    let plain = TargetEntry { membership: None, domain: None, ..member(1) };
    fleet.put(free);
    fleet.put(plain);
    fleet.remove(NOW, &name(0));
    fleet.remove(NOW, &name(1));
    assert_eq!(fleet.targets().map(|entry| &entry.name).collect::<Vec<_>>(), [&name(1)]);
    assert!(fleet.expire(NOW.after(2_500)));
    assert_eq!(fleet.targets().count(), 0);
}

/// Entries that lapse in a store outage are kept for the grace period and then gone, as their targets
/// could have renewed them.
#[test]
fn remove_during_outage() {
    let mut fleet = serving();
    fleet.keep_lapsed_until(NOW.after(2_300));
    assert!(!fleet.remove(NOW, &name(1)));
    assert_eq!(fleet.unlisted_targets().count(), 0);
    let mut listed_late = fleet.clone();
    assert!(listed_late.remove(NOW.after(2_300), &name(1)), "a list before the next expiry");
    assert!(fleet.expire(NOW.after(2_300)));
    assert!(fleet.target(&name(1)).is_none() && listed_late.target(&name(1)).is_none());
}
