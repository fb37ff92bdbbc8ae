//! The guarantees under random fault schedules with the production policy.

mod common;

use celeryhaven_checks::{Bounds, Tally, Violation};
use common::{KeySource, Plan, PolicyBehaviour, Schedule, TargetFaults, World, schedules};
use quickcheck::{Arbitrary, Gen};

const BOUNDS: Bounds = Bounds { loss_ms: 1_500, leaving_ms: 3_000 };
const ENTRIES: usize = 4;

/// Runs updates with every kind of key and streamed completions concurrently.
fn run(schedule: &Schedule, faults: TargetFaults) -> World {
    let behaviour = PolicyBehaviour { fair: true, ..PolicyBehaviour::default() };
    let mut world = World::with_behaviour(schedule.seed, ENTRIES, BOUNDS, behaviour);
    world.target_faults = faults;
    world.store_answers_lost = 50;
    for (at_ms, fault) in &schedule.faults {
        world.fault(*at_ms, fault.clone());
    }
    for n in 0..90_u64 {
        let entry = usize::try_from(n).unwrap_or_default() % ENTRIES;
        let issued = KeySource::Issued((entry + 1) % ENTRIES);
        let key = [KeySource::None, issued, KeySource::Own][entry % 3];
        let twice = key != KeySource::None && n % 2 == 0;
        let entries = [entry, (entry + 2) % ENTRIES];
        let entries = if twice { &entries[..] } else { &entries[..1] };
        let plan = Plan { pieces: 3, ..Plan::update(key) };
        world.operation(1_000 + n * 60, entries, plan);
        world.operation(1_000 + n * 60, &entries[..1], Plan::draft(20));
    }
    world.run_until(40_000);
    world
}

#[test]
fn fair_under_any_schedule() {
    fn holds(schedule: Schedule) -> Result<(), Vec<Violation>> {
        let violations = run(&schedule, TargetFaults::mixed()).checks.finish();
        if violations.is_empty() { Ok(()) } else { Err(violations) }
    }
    schedules(300, 6).quickcheck(holds as fn(Schedule) -> Result<(), Vec<Violation>>);
}

#[test]
fn fair_answers_are_useful() {
    let mut generator = Gen::from_size_and_seed(100, 6);
    let mut sum = Tally::default();
    for _ in 0..100 {
        let schedule = Schedule::arbitrary(&mut generator);
        let tally = run(&schedule, TargetFaults::mixed()).checks.tally();
        sum.calls += tally.calls;
        sum.answered += tally.answered;
        sum.not_run += tally.not_run;
        sum.may_have_run += tally.may_have_run;
        sum.may_have_run_in_vain += tally.may_have_run_in_vain;
        sum.cut_off += tally.cut_off;
        sum.runs += tally.runs;
    }
    println!("{sum:?}");
    assert!(sum.answered * 100 >= sum.calls * 70, "{sum:?}");
    assert!(sum.may_have_run * 100 <= sum.calls * 20, "{sum:?}");
}

#[test]
fn fair_nothing_fails() {
    let schedule = Schedule { seed: 91, faults: Vec::new() };
    let world = run(&schedule, TargetFaults::default());
    let tally = world.checks.tally();
    assert_eq!(world.checks.finish(), vec![]);
    assert_eq!(tally.answered, tally.calls, "{tally:?} {:?}", world.refusals);
}
