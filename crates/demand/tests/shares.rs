//! Shares of the targets by the work that callers offer.

use celeryhaven_demand::{Demand, FleetSize, ModelShares};
use celeryhaven_fleet::ModelProfile;
use celeryhaven_types::ModelName;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 20;
const FLEET: FleetSize = FleetSize { nodes: 10, targets: 1_600 };

fn model(name: &str, size: usize) -> ModelProfile {
    ModelProfile {
        name: ModelName::new(name),
        size,
        share: 0.5,
        time_factor: 1.0,
        load_ms: 16_000,
        staged_load_ms: 1_600,
    }
}

fn demand(busy_slots: &[(&str, f64)]) -> Demand {
    let busy_slots = busy_slots.iter().map(|&(model, slots)| (ModelName::new(model), slots));
    Demand { nodes: 10, busy_slots: busy_slots.collect() }
}

fn shares(shares: &ModelShares, models: &[ModelProfile]) -> Vec<f64> {
    let mut models = models.to_vec();
    shares.apply(&mut models);
    models.iter().map(|model| model.share).collect()
}

#[test]
fn shares_without_demand() {
    let models = [model("large", 8), model("small", 2)];
    let mut tracked = ModelShares::new();
    assert!(!tracked.update(&models, SLOTS, FLEET, &Demand::default()));
    assert_eq!(shares(&tracked, &models), [0.5, 0.5]);
}

/// Guards against a model that is starved of targets while another's idle.
#[test]
fn shares_demand_swapped() {
    let models = [model("large", 8), model("small", 2)];
    let mut tracked = ModelShares::new();
    tracked.update(&models, SLOTS, FLEET, &demand(&[("large", 400.0), ("small", 4_500.0)]));
    let before = shares(&tracked, &models);
    assert!(before[1] > 0.65, "{before:?}");
    tracked.update(&models, SLOTS, FLEET, &demand(&[("large", 4_500.0), ("small", 400.0)]));
    let after = shares(&tracked, &models);
    assert!(after[0] > 0.85 && after[1] >= 0.1, "{after:?}");
}

/// Guards against a model without replicas: nothing of it is asked for at the moment.
#[test]
fn shares_idle_model_keeps_floor() {
    let models = [model("large", 8), model("middle", 4), model("small", 2)];
    let mut tracked = ModelShares::new();
    tracked.update(&models, SLOTS, FLEET, &demand(&[("small", 3_000.0)]));
    let [large, middle, small] = shares(&tracked, &models)[..] else { panic!("three models") };
    assert!(large > 0.05 && middle > 0.05 && small > 0.7, "{large} {middle} {small}");
}

/// Guards against loads without end: shares that follow each wave of the demand.
#[test]
fn shares_noise_changes_nothing() {
    let models = [model("large", 8), model("small", 2)];
    let mut rng = SmallRng::seed_from_u64(5);
    let mut tracked = ModelShares::new();
    let mut changes = 0;
    for _ in 0..1_000 {
        let noisy = |slots: f64, rng: &mut SmallRng| slots * rng.random_range(0.9..1.1);
        let (large, small) = (noisy(60.0, &mut rng), noisy(400.0, &mut rng));
        changes += usize::from(tracked.update(
            &models,
            SLOTS,
            FLEET,
            &demand(&[("large", large), ("small", small)]),
        ));
    }
    assert!(changes <= 3, "{changes} changes of the shares");
}

/// Guards against shares that stay behind a demand that moves slowly.
#[test]
fn shares_demand_drifts() {
    let models = [model("large", 8), model("small", 2)];
    let mut tracked = ModelShares::new();
    for step in 0..=100 {
        let large = 20.0 + f64::from(step) * 2.0;
        tracked.update(
            &models,
            SLOTS,
            FLEET,
            &demand(&[("large", large), ("small", 220.0 - large)]),
        );
    }
    let end = shares(&tracked, &models);
    assert!(end[0] > 0.8, "{end:?}");
}

/// Guards against a large model that its demand leaves with two or three replicas, of which one is
/// always being formed again.
#[test]
fn shares_few_replicas_have_spares() {
    let models = [model("large", 8), model("small", 2)];
    let mut tracked = ModelShares::new();
    tracked.update(
        &models,
        SLOTS,
        FleetSize { targets: 160, ..FLEET },
        &demand(&[("large", 40.0), ("small", 450.0)]),
    );
    let large = shares(&tracked, &models)[0];
    assert!((0.35..0.5).contains(&large), "{large}");
}

/// Guards against shares by spare replicas alone, before the first request.
#[test]
fn shares_nodes_without_work() {
    let models = [model("large", 8), model("small", 2)];
    let mut tracked = ModelShares::new();
    assert!(!tracked.update(&models, SLOTS, FLEET, &demand(&[])));
    assert_eq!(shares(&tracked, &models), [0.5, 0.5]);
}

/// Guards against shares by the requests of a single node of many.
#[test]
fn shares_few_nodes_known() {
    let models = [model("large", 8), model("small", 2)];
    let mut tracked = ModelShares::new();
    let one = Demand { nodes: 1, ..demand(&[("large", 5.0)]) };
    assert!(!tracked.update(&models, SLOTS, FLEET, &one));
    assert!(tracked.update(&models, SLOTS, FLEET, &Demand { nodes: 2, ..one }));
}
