//! No caller takes an incomplete or mixed answer for a complete one.

mod common;

use celeryhaven_checks::{Bounds, Tally, Violation};
use celeryhaven_types::Idempotency;
use common::{Fault, KeySource, Plan, PolicyBehaviour, Schedule, TargetFaults, World, schedules};

const BOUNDS: Bounds = Bounds { loss_ms: 1_500, leaving_ms: 3_000 };
const ENTRIES: usize = 4;

fn drafts(world: &mut World, count: u64) -> Tally {
    for n in 0..count {
        let entry = usize::try_from(n).unwrap_or_default() % ENTRIES;
        world.operation(1_000 + n * 10, &[entry], Plan { retries: 0, ..Plan::draft(40) });
    }
    world.run_until(40_000);
    assert_eq!(world.checks.finish(), vec![]);
    world.checks.tally()
}

#[test]
fn answers_stream_cut_and_resumed() {
    // 30 % of the streams fail halfway. Each is resumed elsewhere at the next token.
    let mut world = World::new(41, ENTRIES, BOUNDS);
    world.target_faults = TargetFaults { cut_mid_stream: 300, ..TargetFaults::default() };
    let tally = drafts(&mut world, 400);
    assert!(tally.runs >= 450, "some streams must fail: {tally:?}");
    assert!(tally.answered * 100 >= tally.calls * 97, "{tally:?}");
}

#[test]
fn answers_member_dies_in_mid_stream() {
    let mut world = World::new(42, ENTRIES, BOUNDS);
    world.fault(2_000, Fault::KillVm("a"));
    world.fault(3_500, Fault::ReformReplica { replica: "r1" });
    let tally = drafts(&mut world, 400);
    assert!(tally.runs >= 410, "some streams must fail: {tally:?}");
    assert!(tally.answered * 100 >= tally.calls * 97, "{tally:?}");
}

#[test]
fn answers_late_after_cancel() {
    // Late answers of a cancelled attempt must not reach the caller or affect the new attempt.
    let behaviour = PolicyBehaviour { first_byte_ms: Some(300), ..PolicyBehaviour::default() };
    let mut world = World::with_behaviour(43, ENTRIES, BOUNDS, behaviour);
    world.target_faults =
        TargetFaults { slow: 200, cut_mid_stream: 200, ..TargetFaults::default() };
    for n in 0..300_u64 {
        let entry = usize::try_from(n).unwrap_or_default() % ENTRIES;
        let plan = Plan { retries: 0, deadline_ms: 8_000, ..Plan::draft(150) };
        world.operation(1_000 + n * 50, &[entry], Plan { caller_timeout_ms: 9_000, ..plan });
    }
    world.run_until(40_000);
    let tally = world.checks.tally();
    assert_eq!(world.checks.finish(), vec![]);
    assert!(tally.runs >= 400 && tally.answered >= 270, "{tally:?}");
}

#[test]
fn answers_entry_dies_between_target_and_caller() {
    // The connection breaks without an end mark; the retry at another entry gets the whole answer.
    let mut world = World::new(44, ENTRIES, BOUNDS);
    for n in 0..100_u64 {
        world.operation(1_000 + n * 10, &[0], Plan::draft(40));
    }
    world.fault(1_500, Fault::KillEntry(0));
    world.run_until(30_000);
    let tally = world.checks.tally();
    assert_eq!(world.checks.finish(), vec![]);
    assert!(tally.cut_off > 0 && tally.answered == 100, "{tally:?}");
}

#[test]
fn answers_plain_never_joined() {
    // A plain answer that fails after partial delivery must not be completed from a second one.
    let mut world = World::new(45, ENTRIES, BOUNDS);
    world.target_faults = TargetFaults { cut_mid_stream: 300, ..TargetFaults::default() };
    let idempotency = Idempotency::Idempotent;
    for n in 0..200_u64 {
        let update = Plan::update(KeySource::None);
        let plan = Plan { idempotency, pieces: 6, retries: 0, ..update };
        world.operation(1_000 + n * 10, &[0], plan);
    }
    world.run_until(30_000);
    let tally = world.checks.tally();
    assert_eq!(world.checks.finish(), vec![]);
    assert!(tally.may_have_run > 30, "{tally:?}");
}

#[test]
fn answers_kept_for_duplicates() {
    // Calls with the same key, before and after the answer, all get the one cached answer.
    for key in [KeySource::Issued(1), KeySource::Own] {
        let mut world = World::new(46, ENTRIES, BOUNDS);
        let entries = [0, 1, 2, 3, 0, 1, 2, 3];
        world.operation(1_000, &entries, Plan { pieces: 5, ..Plan::update(key) });
        world.operation(1_000, &entries, Plan { pieces: 7, ..Plan::update(key) });
        world.run_until(10_000);
        let tally = world.checks.tally();
        assert_eq!(world.checks.finish(), vec![]);
        assert_eq!((tally.answered, tally.runs), (16, 2), "{key:?}");
    }
}

#[test]
fn answers_under_any_schedule() {
    fn holds(schedule: Schedule) -> Result<(), Vec<Violation>> {
        let mut world = World::new(schedule.seed, ENTRIES, BOUNDS);
        world.target_faults = TargetFaults { cut_mid_stream: 150, ..TargetFaults::mixed() };
        for (at_ms, fault) in schedule.faults {
            world.fault(at_ms, fault);
        }
        for n in 0..100_u64 {
            let entry = usize::try_from(n).unwrap_or_default() % ENTRIES;
            world.operation(1_000 + n * 50, &[entry], Plan::draft(30));
            let key = [KeySource::Issued(entry), KeySource::Own][entry % 2];
            let update = Plan { pieces: 4, ..Plan::update(key) };
            world.operation(1_000 + n * 50, &[entry, (entry + 1) % ENTRIES], update);
        }
        world.run_until(40_000);
        let violations = world.checks.finish();
        if violations.is_empty() { Ok(()) } else { Err(violations) }
    }
    schedules(200, 3).quickcheck(holds as fn(Schedule) -> Result<(), Vec<Violation>>);
}
