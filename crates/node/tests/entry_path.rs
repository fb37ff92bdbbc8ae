//! Requests through entry nodes without faults.

mod common;

use celeryhaven_checks::Bounds;
use common::{KeySource, Plan, World};

const BOUNDS: Bounds = Bounds { loss_ms: 1_500, leaving_ms: 3_000 };

#[test]
fn path_all_answered() {
    let mut world = World::new(1, 3, BOUNDS);
    for n in 0..30 {
        let entry = usize::try_from(n % 3).unwrap();
        let key = [KeySource::None, KeySource::Issued(entry), KeySource::Own];
        world.operation(1_000 + n * 10, &[entry], Plan::update(key[entry]));
        world.operation(1_000 + n * 10, &[entry], Plan::draft(12));
    }
    world.run_until(10_000);
    let tally = world.checks.tally();
    assert_eq!(world.checks.finish(), vec![]);
    assert_eq!((tally.calls, tally.answered, tally.runs), (60, 60, 60));
}
