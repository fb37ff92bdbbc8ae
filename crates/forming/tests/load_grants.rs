//! Loads begin only once they are granted, and what became of their orders is recorded.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use celeryhaven_load_quota::LoadOutcome;
use celeryhaven_types::{ModelName, VmName};
use common::Simulation;
use common::fake_target::name;

/// A domain whose replicas serve callers, with one target to spare for the small model.
fn serving_domain(targets: usize) -> Simulation {
    let mut sim = Simulation::new(targets);
    sim.run_ms(60_000);
    sim.traffic_seen = true;
    sim.run_ms(20_000);
    sim
}

fn lose(sim: &mut Simulation, target: &VmName) {
    sim.kill(target);
    sim.suspect(target);
}

/// Without a grant, targets neither stage nor join what they would have to load, also before the
/// first request.
#[test]
fn load_grants_withheld() {
    let mut sim = Simulation::new(10);
    sim.grants_loads = false;
    sim.run_ms(10_000);
    assert_eq!((sim.join_orders(), sim.stage_orders()), (0, 0));
    assert!(sim.record.is_none(), "a replica was planned whose joins cannot be sent");
    sim.grants_loads = true;
    sim.run_ms(60_000);
    assert!(sim.serving().len() == 2, "{:?}", sim.serving());
}

/// A replica of targets that hold its model forms without a grant.
#[test]
fn load_grants_not_needed() {
    let mut sim = serving_domain(6);
    sim.grants_loads = false;
    let lost = sim.members_of("small")[0].clone();
    for number in [11, 12] {
        sim.add(number);
        let entry = &mut sim.targets.get_mut(&name(number)).unwrap().entry;
        entry.staged = vec![ModelName::new("small")];
    }
    lose(&mut sim, &lost);
    sim.run_ms(10_000);
    assert_eq!(sim.serving()["small"], 1);
}

/// A load that is under way evicts the model that a target is listed with: the join would load.
#[test]
fn load_grants_join_behind_stage() {
    let mut sim = serving_domain(6);
    (11..13).for_each(|number| sim.add(number));
    sim.run_ms(1_000);
    sim.grants_loads = false;
    let loading: Vec<VmName> = sim
        .targets
        .values()
        .filter(|fake| fake.staging.is_some())
        .map(|fake| fake.entry.name.clone())
        .collect();
    assert!(!loading.is_empty());
    for target in &loading {
        let fake = sim.targets.get_mut(target).unwrap();
        let (model, _) = fake.staging.as_ref().unwrap();
        let other = if model.as_str() == "small" { "large" } else { "small" };
        fake.entry.staged = vec![ModelName::new(other)];
    }
    for model in ["small", "large"] {
        let lost = sim.members_of(model)[0].clone();
        lose(&mut sim, &lost);
    }
    sim.run_ms(5_000);
    let joins: usize = loading.iter().map(|target| sim.count_orders(target, "join")).sum();
    assert_eq!(joins, 0);
}

/// Behind another coordinator, a listed model may be about to be evicted by a load of its.
#[test]
fn load_grants_behind_other_coordinator() {
    let mut sim = serving_domain(6);
    for number in [11, 12] {
        sim.add(number);
        let entry = &mut sim.targets.get_mut(&name(number)).unwrap().entry;
        entry.staged = vec![ModelName::new("small")];
    }
    sim.grants_loads = false;
    sim.replace_coordinator("entry-2");
    sim.run_ms(1_000);
    let lost = sim.members_of("small")[0].clone();
    lose(&mut sim, &lost);
    let joins = |sim: &Simulation| -> usize {
        [11, 12].iter().map(|&number| sim.count_orders(&name(number), "join")).sum()
    };
    let before = joins(&sim);
    sim.run_ms(5_000);
    assert_eq!(joins(&sim), before);
    sim.run_ms(25_000);
    assert_eq!(sim.serving()["small"], 1);
}

/// A load whose order was not answered may begin later, which the quota must know.
#[test]
fn load_grants_order_unanswered() {
    let mut sim = serving_domain(6);
    (11..15).for_each(|number| sim.add(number));
    sim.order_delay_ms = Some(5_000);
    sim.load_outcomes.clear();
    sim.run_ms(3_000);
    assert!(!sim.load_outcomes.is_empty());
    assert!(sim.load_outcomes.iter().all(|outcome| *outcome == LoadOutcome::Unanswered));
}

/// A target that refuses a load has not begun one.
#[test]
fn load_grants_order_refused() {
    let mut sim = serving_domain(6);
    (11..15).for_each(|number| sim.add(number));
    sim.refuses_stage = (11..15).map(name).collect();
    sim.load_outcomes.clear();
    sim.run_ms(1_000);
    assert!(sim.load_outcomes.contains(&LoadOutcome::NotBegun), "{:?}", sim.load_outcomes);
    assert!(!sim.load_outcomes.contains(&LoadOutcome::Begun), "{:?}", sim.load_outcomes);
}
