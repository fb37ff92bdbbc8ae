//! Conversion of targets to a model that the domain lacks.

mod common;

use celeryhaven_types::{ModelName, VmName};
use common::Simulation;
use common::fake_target::name;

/// Returns a domain whose targets all serve and have staged a second model.
fn serving_domain(targets: usize) -> Simulation {
    let mut sim = Simulation::new(targets);
    sim.run_ms(80_000);
    sim.traffic_seen = true;
    sim
}

fn lose_targets(sim: &mut Simulation, targets: &[VmName]) {
    for target in targets {
        sim.kill(target);
    }
    sim.run_ms(600);
    for target in targets {
        sim.suspect(target);
    }
}

/// Runs the simulation while closing heads finish their requests at once.
fn run_finishing_requests(sim: &mut Simulation, span_ms: u64) {
    for _ in 0..span_ms / 100 {
        sim.run_ms(100);
        sim.finish_all_requests();
    }
}

#[test]
fn staging_second_model() {
    let sim = serving_domain(10);
    for fake in sim.targets.values() {
        let entry = &fake.entry;
        let has = |model| {
            let model = ModelName::new(model);
            entry.model.as_ref() == Some(&model) || entry.staged.contains(&model)
        };
        assert!(has("large") && has("small"), "{} has one model alone", entry.name);
    }
}

/// The survivors of a large replica must not wait for an empty target to load while a small replica
/// could be converted instead.
#[test]
fn conversion_large_member_lost() {
    let mut sim = serving_domain(10);
    let lost = sim.members_of("large")[2].clone();
    lose_targets(&mut sim, &[lost]);
    run_finishing_requests(&mut sim, 5_000);
    assert_eq!(sim.serving()["large"], 1);
    assert_eq!(sim.serving()["small"], 2);
}

/// Two replicas that are converted together close at different times. The members of the first must
/// not form a small replica again before the second has closed.
#[test]
fn conversion_two_replicas_at_once() {
    let mut sim = serving_domain(10);
    let lost = sim.members_of("large");
    lose_targets(&mut sim, &lost);
    let mut closing = Vec::new();
    for _ in 0..100 {
        sim.run_ms(100);
        closing = sim.closing_heads();
        if closing.len() == 2 {
            break;
        }
    }
    assert_eq!(closing.len(), 2, "two small replicas close for a large one");
    sim.finish_requests(&closing[0]);
    sim.run_ms(1_000);
    sim.finish_requests(&closing[1]);
    sim.run_ms(3_000);
    assert_eq!(sim.serving()["large"], 1);
}

/// Survivors of the large replica must not form a small replica, which would lose them the large
/// model.
#[test]
fn conversion_survivors_keep_model() {
    let mut sim = serving_domain(6);
    let mut lost = sim.members_of("small");
    lost.push(sim.members_of("large")[3].clone());
    lose_targets(&mut sim, &lost);
    sim.run_ms(3_000);
    assert!(sim.serving().is_empty());
    sim.add(6);
    sim.run_ms(20_000);
    assert_eq!(sim.serving()["large"], 1);
}

/// A target that keeps refusing to stage must not receive the order at the same rate throughout.
#[test]
fn staging_refused_pauses_longer() {
    let mut sim = Simulation::new(6);
    sim.refuses_stage = (0..6).map(name).collect();
    sim.run_ms(60_000);
    let stage_orders = |sim: &Simulation| -> usize {
        (0..6).map(|number| sim.count_orders(&name(number), "stage")).sum()
    };
    let before = stage_orders(&sim);
    sim.run_ms(24_000);
    assert!(stage_orders(&sim) - before <= 12, "{} orders", stage_orders(&sim) - before);
}
