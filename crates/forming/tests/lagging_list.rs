//! Coordinators of one domain whose target lists lag by different times.

mod common;

use celeryhaven_types::ModelName;
use common::Simulation;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of random schedules.
const SEEDS: u64 = 300;

/// Returns a domain without a coordinator, listed for `listed_ms`, with both models on all targets.
fn warm_domain(targets: usize, listed_ms: u64) -> Simulation {
    let mut sim = Simulation::new(targets);
    sim.remove_coordinator(0);
    for fake in sim.targets.values_mut() {
        fake.entry.staged = vec![ModelName::new("large"), ModelName::new("small")];
    }
    sim.run_ms(listed_ms);
    sim
}

/// A coordinator whose list does not show a replica yet must not take its members as free.
#[test]
fn planner_second_coordinator_lags() {
    let mut sim = warm_domain(10, 9_000);
    sim.add_coordinator("entry-1");
    sim.run_ms(500);
    sim.add_lagging_coordinator("entry-2", 8_000);
    sim.run_ms(30_000);
    assert!(sim.serving().contains_key("large"));
}

/// A coordinator must not remove plans from the record that its list does not show yet.
#[test]
fn planner_plans_stay_in_record() {
    let mut sim = warm_domain(10, 13_000);
    sim.add_coordinator("entry-1");
    sim.run_ms(300);
    sim.add_lagging_coordinator("entry-2", 12_000);
    sim.run_ms(4_000);
    sim.add_lagging_coordinator("entry-3", 12_000);
    sim.run_ms(30_000);
    assert!(sim.serving().contains_key("large"));
}

/// No target may be in two replicas when coordinators change, lists lag and orders arrive late.
#[test]
fn planner_lagging_coordinators_at_random() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sim = warm_domain(12, 5_000);
        sim.add_coordinator("entry-1");
        for number in 0..rng.random_range(2..=6) {
            sim.run_ms(rng.random_range(1..=15) * 100);
            let lag_ms = rng.random_range(0..=40) * 100;
            sim.add_lagging_coordinator(&format!("entry-{}", number + 2), lag_ms);
            if rng.random_bool(0.4) {
                sim.remove_coordinator(0);
            }
            let late_ms = rng.random_range(2..=20) * 100;
            sim.order_delay_ms = rng.random_bool(0.15).then_some(late_ms);
        }
        sim.order_delay_ms = None;
        sim.run_ms(10_000);
    }
}
