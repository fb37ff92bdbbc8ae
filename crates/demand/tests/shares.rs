//! Shares of the targets by offered load.

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
    Demand { nodes: 10, busy_slots: busy_slots.collect(), recent: None }
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

/// A model must not lack targets while another's are idle.
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

/// A model without demand must keep replicas.
#[test]
fn shares_idle_model_keeps_floor() {
    let models = [model("large", 8), model("middle", 4), model("small", 2)];
    let mut tracked = ModelShares::new();
    tracked.update(&models, SLOTS, FLEET, &demand(&[("small", 3_000.0)]));
    let [large, middle, small] = shares(&tracked, &models)[..] else { panic!("three models") };
    assert!(large > 0.05 && middle > 0.05 && small > 0.7, "{large} {middle} {small}");
}

/// Noise in the demand must not keep changing the shares, because each change can cause loads.
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

/// Shares must follow a demand that changes slowly.
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

/// A large model with few replicas must have spares, because one is often being replaced.
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

/// Spare replicas must not change the shares before the first request.
#[test]
fn shares_nodes_without_work() {
    let models = [model("large", 8), model("small", 2)];
    let mut tracked = ModelShares::new();
    assert!(!tracked.update(&models, SLOTS, FLEET, &demand(&[])));
    assert_eq!(shares(&tracked, &models), [0.5, 0.5]);
}

/// The requests of a single node must not set the shares of a large fleet.
#[test]
fn shares_few_nodes_known() {
    let models = [model("large", 8), model("small", 2)];
    let mut tracked = ModelShares::new();
    let one = Demand { nodes: 1, ..demand(&[("large", 5.0)]) };
    assert!(!tracked.update(&models, SLOTS, FLEET, &one));
    assert!(tracked.update(&models, SLOTS, FLEET, &Demand { nodes: 2, ..one }));
}
