//! Deciders of one domain whose lists of targets lag, each by its own time.

mod common;

use celeryhaven_types::ModelName;
use common::World;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Seeds of the random histories.
const SEEDS: u64 = 300;

/// A domain whose targets have both models on their hosts, listed for so long without a decider.
fn warm(targets: usize, listed_ms: u64) -> World {
    let mut world = World::new(targets);
    world.drop_decider(0);
    for toy in world.toys.values_mut() {
        toy.entry.staged = vec![ModelName::new("large"), ModelName::new("small")];
    }
    world.run_ms(listed_ms);
    world
}

/// Guards against a target in two replicas: its list not yet showing the first one, another decider
/// took the targets for free.
#[test]
fn planner_second_decider_lags() {
    let mut world = warm(10, 9_000);
    world.add_decider("entry-1");
    world.run_ms(500);
    world.add_lagging_decider("entry-2", 8_000);
    world.run_ms(30_000);
    assert!(world.serving().contains_key("large"));
}

/// Guards against a target in two replicas: a decider wrote the record without the plans that its
/// list did not show, so the next one did not know of them.
#[test]
fn planner_plans_stay_in_record() {
    let mut world = warm(10, 13_000);
    world.add_decider("entry-1");
    world.run_ms(300);
    world.add_lagging_decider("entry-2", 12_000);
    world.run_ms(4_000);
    world.add_lagging_decider("entry-3", 12_000);
    world.run_ms(30_000);
    assert!(world.serving().contains_key("large"));
}

/// Guards against a target in two replicas while deciders come and go, their lists lag and orders
/// are carried out late.
#[test]
fn planner_lagging_deciders_at_random() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = warm(12, 5_000);
        world.add_decider("entry-1");
        for number in 0..rng.random_range(2..=6) {
            world.run_ms(rng.random_range(1..=15) * 100);
            let lag_ms = rng.random_range(0..=40) * 100;
            world.add_lagging_decider(&format!("entry-{}", number + 2), lag_ms);
            if rng.random_bool(0.4) {
                world.drop_decider(0);
            }
            let late_ms = rng.random_range(2..=20) * 100;
            world.delay_orders = rng.random_bool(0.15).then_some(late_ms);
        }
        world.delay_orders = None;
        world.run_ms(10_000);
    }
}
