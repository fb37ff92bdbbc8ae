//! A planned stop of an entry interrupts no request.

mod common;

use celeryhaven_checks::Bounds;
use common::{Fault, KeySource, Plan, World};

const BOUNDS: Bounds = Bounds { loss_ms: 1_500, leaving_ms: 3_000 };
const STOP_MS: u64 = 3_000;
/// Time that callers cache an address answer (`address_ttl_ms`).
const ADDRESS_TTL_MS: u64 = 5_000;

#[test]
fn stop_with_cached_addresses() {
    // Callers use a cached address for 5 s after the stop. All must be served, and the process
    // exits after its last stream.
    let mut world = World::new(61, 4, BOUNDS);
    world.fault(STOP_MS, Fault::StopEntry(0));
    for n in 0..700_u64 {
        let pieces = if n == 699 { 350 } else { 20 };
        world.operation(1_000 + n * 10, &[0], Plan { retries: 0, ..Plan::draft(pieces) });
        let plan = Plan { retries: 0, ..Plan::update(KeySource::Issued(0)) };
        world.operation(1_000 + n * 10, &[1], plan);
    }
    world.run_until(STOP_MS + ADDRESS_TTL_MS + 2_000);
    assert!(world.is_running(0), "a stream is still running");
    world.run_until(40_000);
    let tally = world.checks.tally();
    assert_eq!(world.checks.finish(), vec![]);
    assert_eq!((tally.answered, tally.cut_off), (1_400, 0), "{tally:?} {:?}", world.refusals);
    assert!(!world.is_running(0), "the process must exit after its last stream");
}

#[test]
fn stop_refuses_what_comes_too_late() {
    // A caller that uses an expired address is refused as not run, and served elsewhere.
    let mut world = World::new(62, 4, BOUNDS);
    world.fault(STOP_MS, Fault::StopEntry(0));
    world.operation(STOP_MS + 4_900, &[0], Plan::draft(350));
    world.operation(STOP_MS + 5_500, &[0], Plan::draft(20));
    world.run_until(40_000);
    let tally = world.checks.tally();
    assert_eq!(world.checks.finish(), vec![]);
    assert_eq!((tally.answered, tally.not_run, tally.calls), (2, 1, 3));
}

#[test]
fn stop_leaves_address_answers() {
    let mut world = World::new(63, 3, BOUNDS);
    world.run_until(2_000);
    assert_eq!(world.addresses_from(0).len(), 3);
    world.fault(2_000, Fault::StopEntry(0));
    world.run_until(2_010);
    assert_eq!(world.addresses_from(0).len(), 2, "addresses of the two other entries");
}
