//! No non-idempotent request runs twice under any fault.

mod common;

use celeryhaven_checks::{Bounds, Tally, Violation};
use common::{Fault, KeySource, Plan, PolicyBehaviour, Schedule, TargetFaults, World, schedules};
use quickcheck::{Arbitrary, Gen};

const BOUNDS: Bounds = Bounds { loss_ms: 1_500, leaving_ms: 3_000 };
const ENTRIES: usize = 4;
const END_MS: u64 = 40_000;

/// Runs updates with issued keys, own keys and none, half of them sent to two entries at once.
fn run(schedule: &Schedule) -> World {
    let mut world = World::new(schedule.seed, ENTRIES, BOUNDS);
    world.target_faults = TargetFaults::mixed();
    world.store_answers_lost = 50;
    for (at_ms, fault) in &schedule.faults {
        world.fault(*at_ms, fault.clone());
    }
    for n in 0..90_u64 {
        let entry = usize::try_from(n).unwrap_or_default() % ENTRIES;
        let key = match n % 3 {
            0 => KeySource::None,
            1 => KeySource::Issued((entry + 1) % ENTRIES),
            _ => KeySource::Own,
        };
        let twice = key != KeySource::None && n % 2 == 0;
        let other = (entry + 2) % ENTRIES;
        let entries = if twice { vec![entry, other] } else { vec![entry] };
        let caller_timeout_ms = if n % 5 == 0 { 150 } else { 6_000 };
        let plan = Plan { caller_timeout_ms, ..Plan::update(key) };
        world.operation(1_000 + n * 60, &entries, plan);
    }
    world.run_until(END_MS);
    world
}

fn holds(schedule: Schedule) -> Result<(), Vec<Violation>> {
    let violations = run(&schedule).checks.finish();
    if violations.is_empty() { Ok(()) } else { Err(violations) }
}

#[test]
fn once_under_any_schedule() {
    schedules(300, 5).quickcheck(holds as fn(Schedule) -> Result<(), Vec<Violation>>);
}

#[test]
fn once_answers_are_useful() {
    // A system that always says "may have run" would pass the safety checks, so most calls must be
    // answered.
    let mut generator = Gen::from_size_and_seed(100, 5);
    let mut sum = Tally::default();
    for _ in 0..100 {
        let tally = run(&Schedule::arbitrary(&mut generator)).checks.tally();
        sum.calls += tally.calls;
        sum.answered += tally.answered;
        sum.not_run += tally.not_run;
        sum.may_have_run += tally.may_have_run;
        sum.may_have_run_in_vain += tally.may_have_run_in_vain;
        sum.cut_off += tally.cut_off;
        sum.runs += tally.runs;
    }
    println!("{sum:?}");
    assert!(sum.answered * 100 >= sum.calls * 60, "{sum:?}");
    assert!(sum.may_have_run * 100 <= sum.calls * 25, "{sum:?}");
}

/// Prints refusals by code under the same schedules.
#[test]
fn once_refusals_by_code() {
    let mut generator = Gen::from_size_and_seed(100, 5);
    let mut sum = std::collections::BTreeMap::<String, u64>::new();
    for _ in 0..30 {
        for (code, count) in run(&Schedule::arbitrary(&mut generator)).refusals {
            *sum.entry(code).or_default() += count;
        }
    }
    println!("{sum:?}");
    assert!(!sum.contains_key("UnknownKey"), "{sum:?}");
}

#[test]
fn once_same_key_at_two_entries() {
    // One update is sent to two entries in the same millisecond. Both must return the one answer.
    for key in [KeySource::Issued(0), KeySource::Issued(2), KeySource::Own] {
        let mut world = World::new(3, ENTRIES, BOUNDS);
        world.operation(1_000, &[0, 1], Plan::update(key));
        world.run_until(10_000);
        let tally = world.checks.tally();
        assert_eq!(world.checks.finish(), vec![]);
        assert_eq!((tally.calls, tally.answered, tally.runs), (2, 2, 1), "{key:?}");
    }
}

#[test]
fn once_issuer_killed_while_running() {
    // The issuer of the key dies while the update runs. Retries elsewhere must be told "may have
    // run".
    let mut world = World::new(4, ENTRIES, BOUNDS);
    world.operation(1_000, &[0], Plan::update(KeySource::Issued(0)));
    world.fault(1_008, Fault::KillEntry(0));
    world.fault(1_500, Fault::StartEntry(0));
    world.run_until(10_000);
    let tally = world.checks.tally();
    assert_eq!(world.checks.finish(), vec![]);
    assert_eq!((tally.runs, tally.answered, tally.not_run), (1, 0, 0));
    assert!(tally.may_have_run > 0);
}

#[test]
fn once_owner_of_own_key_killed() {
    let mut world = World::new(4, ENTRIES, BOUNDS);
    world.operation(1_000, &[0], Plan::update(KeySource::Own));
    world.fault(1_012, Fault::KillEntry(0));
    world.fault(1_500, Fault::StartEntry(0));
    world.run_until(10_000);
    let tally = world.checks.tally();
    assert_eq!(world.checks.finish(), vec![]);
    assert_eq!((tally.runs, tally.answered, tally.not_run), (1, 0, 0));
}

#[test]
fn once_caller_breaks_off_and_retries() {
    // The caller disconnects while its update runs; the retry at the next entry must get its
    // answer.
    for key in [KeySource::Issued(0), KeySource::Own] {
        let mut world = World::new(5, ENTRIES, BOUNDS);
        let plan = Plan { caller_timeout_ms: 9, ..Plan::update(key) };
        world.operation(1_000, &[0], plan);
        world.run_until(10_000);
        let tally = world.checks.tally();
        assert_eq!(world.checks.finish(), vec![]);
        assert_eq!((tally.runs, tally.cut_off, tally.answered), (1, 1, 1), "{key:?}");
    }
}

#[test]
fn once_paused_entry_wakes_late() {
    // An entry is paused between decision and first byte, past the deadline. It must not send the
    // request.
    let mut world = World::new(6, ENTRIES, BOUNDS);
    for n in 0..40 {
        world.operation(1_000 + n, &[0], Plan::update(KeySource::Issued(0)));
    }
    world.fault(1_020, Fault::PauseEntry { entry: 0, for_ms: 5_000 });
    world.run_until(30_000);
    assert_eq!(world.checks.finish(), vec![]);
}

#[test]
fn once_store_down_and_lossy() {
    // The Object API is down for 10 s and loses 20 % of its answers otherwise. Own keys cannot be
    // claimed then and are "not run"; issued keys are unaffected.
    let mut world = World::new(7, ENTRIES, BOUNDS);
    world.store_answers_lost = 200;
    world.fault(2_000, Fault::StoreDown { for_ms: 10_000 });
    for n in 0..100 {
        let plan = Plan { retries: 0, ..Plan::update(KeySource::Issued(1)) };
        world.operation(1_500 + n * 50, &[2], plan);
        let plan = Plan { retries: 0, ..Plan::update(KeySource::Own) };
        world.operation(1_500 + n * 50, &[3, 2], plan);
    }
    world.run_until(END_MS);
    let tally = world.checks.tally();
    assert_eq!(world.checks.finish(), vec![]);
    println!("{tally:?} {:?}", world.refusals);
    assert!(tally.answered >= 100, "issued keys must work without the store: {tally:?}");
}

#[test]
fn once_policy_that_retries_everything() {
    // The policy retries requests that may have run; the node must refuse them.
    let behaviour = PolicyBehaviour { retries_all: true, ..PolicyBehaviour::default() };
    let mut world = World::with_behaviour(8, ENTRIES, BOUNDS, behaviour);
    world.target_faults = TargetFaults { answer_lost: 500, ..TargetFaults::default() };
    for n in 0..60 {
        world.operation(1_000 + n * 20, &[0], Plan::update(KeySource::None));
    }
    world.run_until(END_MS);
    assert_eq!(world.checks.finish(), vec![]);
    assert!(world.checks.tally().may_have_run > 10);
}
