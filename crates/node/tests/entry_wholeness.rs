//! No replica receives requests while any of its VMs is missing.

mod common;

use celeryhaven_checks::{Bounds, Violation};
use common::{Fault, Plan, Schedule, TargetFaults, World, schedules};

/// The lifetime of a report; older ones prove nothing.
const BOUNDS: Bounds = Bounds { loss_ms: 1_500, leaving_ms: 3_000 };
/// One poll interval, and a second one for an entry to which the loss report was lost or late.
const ONE_LOST_MS: u64 = 1_010;
/// One poll interval and the poll itself.
const POLL_MS: u64 = 510;
const ENTRIES: usize = 4;
const LOSS_MS: u64 = 3_333;
const FORMED_MS: u64 = 8_000;

/// Sends completions to every entry, one every 10 ms for 12 s.
fn run_under_load(seed: u64, faults: &[(u64, Fault)]) -> World {
    let mut world = World::new(seed, ENTRIES, BOUNDS);
    for (at_ms, fault) in faults {
        world.fault(*at_ms, fault.clone());
    }
    for n in 0..1_200_u64 {
        let entry = usize::try_from(n).unwrap_or_default() % ENTRIES;
        world.operation(1_000 + n * 10, &[entry], Plan { retries: 0, ..Plan::draft(3) });
    }
    world.run_until(30_000);
    world
}

/// Returns the time of the first request for r1 (rank 0 is a) from `from_ms` on.
fn next_sent(world: &World, from_ms: u64) -> Option<u64> {
    let mut sends = world.sends.iter();
    sends.find(|(at, vm)| *at >= from_ms && vm.as_str() == "a").map(|(at, _)| *at)
}

/// Delays over ten times of a loss, in milliseconds.
#[derive(Debug)]
struct Delays {
    /// Maximum from the loss to the last request sent.
    after: u64,
    /// Maximum from the formation, or the end of a silence, to the next request sent.
    recovery: u64,
    /// Number of runs whose last request was within one poll interval.
    prompt: u32,
}

/// Returns the delays for a member lost by this fault at ten phases of the poll cycle, with the
/// replica re-formed later.
fn worst_delays(fault: &Fault) -> Delays {
    let silence = if let Fault::SilenceVm { for_ms, .. } = fault { Some(*for_ms) } else { None };
    let mut delays = Delays { after: 0, recovery: 0, prompt: 0 };
    for loss_ms in (LOSS_MS..LOSS_MS + 500).step_by(50) {
        let formed = (FORMED_MS, Fault::ReformReplica { replica: "r1" });
        let world = run_under_load(21, &[(loss_ms, fault.clone()), formed]);
        assert_eq!(world.checks.finish(), vec![], "{fault:?}");
        let back_ms = silence.map_or(FORMED_MS, |for_ms| loss_ms + for_ms);
        assert_eq!(next_sent(&world, loss_ms + BOUNDS.loss_ms), next_sent(&world, back_ms));
        let recovery_ms =
            next_sent(&world, back_ms).expect("requests to the re-formed replica") - back_ms;
        let after_ms = world.checks.tally().worst_after_loss_ms;
        delays.after = delays.after.max(after_ms);
        delays.recovery = delays.recovery.max(recovery_ms);
        delays.prompt += u32::from(after_ms <= POLL_MS);
    }
    println!("{fault:?}: {delays:?}");
    delays
}

#[test]
fn wholeness_member_dead() {
    let delays = worst_delays(&Fault::KillVm("b"));
    assert!(delays.after <= 900 && delays.recovery <= 1_000, "one poll interval and its timeout");
}

#[test]
fn wholeness_front_dead() {
    // Rank 0 dies: the first failed connection marks the replica as unavailable.
    let delays = worst_delays(&Fault::KillVm("a"));
    assert!(delays.after <= 200 && delays.recovery <= 1_000, "{delays:?}");
}

#[test]
fn wholeness_member_silent() {
    let delays = worst_delays(&Fault::SilenceVm { vm: "b", for_ms: 4_000 });
    assert!(delays.after <= 900 && delays.recovery <= 1_000);
}

#[test]
fn wholeness_member_restarted_empty() {
    // The engine restarts at the same address without state, and answers its polls.
    let delays = worst_delays(&Fault::RestartVm { vm: "b", claims_old: false });
    assert!(delays.after <= ONE_LOST_MS && delays.recovery <= 1_000, "{delays:?}");
    assert!(delays.prompt >= 9, "losses must be reported at once: {delays:?}");
}

#[test]
fn wholeness_member_restarted_claiming_its_place() {
    // The restarted engine still claims its membership; only its boot differs.
    let delays = worst_delays(&Fault::RestartVm { vm: "b", claims_old: true });
    assert!(delays.after <= ONE_LOST_MS && delays.recovery <= 1_000, "{delays:?}");
    assert!(delays.prompt >= 9, "losses must be reported at once: {delays:?}");
}

#[test]
fn wholeness_member_released() {
    // The engine was released from the formation and keeps its boot.
    let delays = worst_delays(&Fault::LeaveFormation { vm: "b" });
    assert!(delays.after <= ONE_LOST_MS && delays.recovery <= 1_000, "{delays:?}");
    assert!(delays.prompt >= 9, "losses must be reported at once: {delays:?}");
}

#[test]
fn wholeness_member_of_older_generation() {
    let delays = worst_delays(&Fault::OldGeneration { vm: "b" });
    assert!(delays.after <= ONE_LOST_MS && delays.recovery <= 1_000, "{delays:?}");
    assert!(delays.prompt >= 9, "losses must be reported at once: {delays:?}");
}

#[test]
fn wholeness_reports_late() {
    // Reports of b are slow, and then b dies. The age of a report counts from its request.
    let slow = Fault::SlowReports { vm: "b", by_ms: 390 };
    let formed = (FORMED_MS, Fault::ReformReplica { replica: "r1" });
    let world = run_under_load(22, &[(500, slow), (LOSS_MS, Fault::KillVm("b")), formed]);
    assert_eq!(world.checks.finish(), vec![]);
    assert!(
        next_sent(&world, 1_000).is_some_and(|at| at < 2_000),
        "late reports must still be used"
    );
}

#[test]
fn wholeness_entry_paused_over_the_loss() {
    // A member dies while an entry is paused. Requests decided before the pause must not be sent on
    // outdated reports.
    for at_ms in 3_300..3_340 {
        let pause = Fault::PauseEntry { entry: 0, for_ms: 3_000 };
        let loss = (at_ms + 2, Fault::KillVm("b"));
        let world = run_under_load(23, &[(at_ms, pause), loss]);
        assert_eq!(world.checks.finish(), vec![]);
    }
}

#[test]
fn wholeness_entry_cut_from_one_member() {
    // Only one entry cannot reach rank 1. It must stop sending to the replica; the others continue.
    let cut = Fault::CutTarget { entry: 0, vm: "b", for_ms: 5_000 };
    let world = run_under_load(24, &[(3_000, cut)]);
    let tally = world.checks.tally();
    assert_eq!(world.checks.finish(), vec![]);
    assert_eq!(tally.answered, tally.calls);
}

#[test]
fn wholeness_under_any_schedule() {
    fn holds(schedule: Schedule) -> Result<(), Vec<Violation>> {
        let mut world = World::new(schedule.seed, ENTRIES, BOUNDS);
        world.target_faults = TargetFaults::mixed();
        world.store_answers_lost = 50;
        for (at_ms, fault) in schedule.faults {
            world.fault(at_ms, fault);
        }
        for n in 0..300_u64 {
            let entry = usize::try_from(n).unwrap_or_default() % ENTRIES;
            world.operation(1_000 + n * 25, &[entry], Plan::draft(6));
        }
        world.run_until(40_000);
        let violations = world.checks.finish();
        if violations.is_empty() { Ok(()) } else { Err(violations) }
    }
    schedules(200, 1).quickcheck(holds as fn(Schedule) -> Result<(), Vec<Violation>>);
}
