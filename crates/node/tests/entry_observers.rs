//! Two entries observe each replica; the others must not act on outdated observations.

mod common;

use celeryhaven_checks::Bounds;
use celeryhaven_types::VmName;
use common::{Fault, Plan, PolicyBehaviour, TargetFaults, World};

const BOUNDS: Bounds = Bounds { loss_ms: 1_500, leaving_ms: 3_000 };

/// Sends completions to every entry, one every 5 ms from 1 s on.
fn load(world: &mut World, entries: usize, until_ms: u64) {
    for at_ms in (1_000..until_ms).step_by(5) {
        let entry = usize::try_from(at_ms / 5).unwrap_or_default() % entries;
        world.operation(at_ms, &[entry], Plan::draft(2));
    }
}

#[test]
fn observers_share_the_polls() {
    // Without observers, eight entries would send a member 16 polls a second; two observers send
    // four.
    let mut world = World::new(81, 8, BOUNDS);
    load(&mut world, 8, 20_000);
    world.run_until(21_000);
    let tally = world.checks.tally();
    assert_eq!(world.checks.finish(), vec![]);
    assert_eq!(tally.answered, tally.calls);
    let polls = world.polls[&VmName::new("a")];
    println!("{polls} polls of a member and {} messages in 21 s", world.peer_messages);
    assert!((80..120).contains(&polls), "{polls} polls in 21 s");
}

#[test]
fn observers_both_dead() {
    // Two of four entries die. If both observed a replica, the others must poll it themselves
    // before the last observation expires.
    for (one, other) in [(0, 1), (0, 2), (0, 3), (1, 2), (1, 3), (2, 3)] {
        let mut world = World::new(82, 4, BOUNDS);
        world.fault(5_000, Fault::KillEntry(one));
        world.fault(5_000, Fault::KillEntry(other));
        load(&mut world, 4, 10_000);
        world.run_until(20_000);
        assert_eq!(world.checks.finish(), vec![]);
        for front in ["a", "c"].map(VmName::new) {
            let sends = world.sends.iter().filter(|(at, vm)| *at > 2_000 && *vm == front);
            let times: Vec<u64> = sends.map(|(at, _)| *at).chain([10_000]).collect();
            let gap_ms = times.windows(2).map(|pair| pair[1] - pair[0]).max();
            assert!(gap_ms.is_some_and(|gap| gap <= 200), "{one} {other} {front}: {gap_ms:?}");
        }
    }
}

#[test]
fn observers_answer_late() {
    // Observations sent before a member's restart and delayed must not make the replica eligible
    // again.
    for at_ms in (3_000..3_500).step_by(50) {
        let mut world = World::new(84, 4, BOUNDS);
        world.late_observations = 500;
        world.fault(at_ms, Fault::RestartVm { vm: "b", claims_old: true });
        load(&mut world, 4, 6_000);
        world.run_until(12_000);
        assert_eq!(world.checks.finish(), vec![]);
        let worst = world.checks.tally().worst_after_loss_ms;
        assert!(worst <= 510, "{at_ms}: {worst}");
    }
}

#[test]
fn observers_cannot_see_a_cut_of_ones_own() {
    // Only one entry cannot reach rank 0. After its first failed request it must rely on its own
    // polls until they succeed.
    for entry in 0..4 {
        let mut world = World::new(83, 4, BOUNDS);
        world.fault(3_000, Fault::CutTarget { entry, vm: "a", for_ms: 8_000 });
        load(&mut world, 4, 12_000);
        world.run_until(20_000);
        let tally = world.checks.tally();
        assert_eq!(world.checks.finish(), vec![]);
        assert_eq!(tally.answered, tally.calls);
        assert!(world.connect_failures <= 10, "{}", world.connect_failures);
    }
}

#[test]
fn observers_trusted_after_own_cancels() {
    // The policy cancels attempts that start too slowly. Own cancels must not count as target
    // failures.
    let behaviour = PolicyBehaviour { first_byte_ms: Some(100), ..PolicyBehaviour::default() };
    let mut world = World::with_behaviour(85, 4, BOUNDS, behaviour);
    world.target_faults = TargetFaults { slow: 300, ..TargetFaults::default() };
    load(&mut world, 4, 10_000);
    world.run_until(20_000);
    let tally = world.checks.tally();
    assert_eq!(world.checks.finish(), vec![]);
    assert!(tally.runs > tally.calls * 5 / 4, "some attempts must be cancelled: {tally:?}");
    let polls = world.polls[&VmName::new("b")];
    assert!(polls <= 120, "{polls} polls of rank 1 in 20 s");
}
