//! Conversion of replicas when the demand for models changes.

mod common;

use common::Simulation;

/// Returns a domain that serves both models, each target with the other model staged.
fn serving_domain() -> Simulation {
    let mut sim = Simulation::new(16);
    sim.run_ms(90_000);
    sim.traffic_seen = true;
    sim
}

fn set_shares(sim: &mut Simulation, large: f64) {
    sim.profile.models[0].share = large;
    sim.profile.models[1].share = 1.0 - large;
}

fn run_finishing_requests(sim: &mut Simulation, span_ms: u64) {
    for _ in 0..span_ms / 100 {
        sim.run_ms(100);
        sim.finish_all_requests();
    }
}

/// A model must not stay short of replicas while replicas of another are idle.
#[test]
fn demand_moves_to_small() {
    let mut sim = serving_domain();
    assert_eq!((sim.serving()["large"], sim.serving()["small"]), (2, 4));
    set_shares(&mut sim, 0.25);
    run_finishing_requests(&mut sim, 10_000);
    assert_eq!((sim.serving()["large"], sim.serving()["small"]), (1, 6));
}

/// Conversions must not alternate between the models.
#[test]
fn demand_change_converges() {
    let mut sim = serving_domain();
    set_shares(&mut sim, 0.25);
    run_finishing_requests(&mut sim, 10_000);
    let stage_orders = sim.stage_orders();
    let join_orders = sim.join_orders();
    run_finishing_requests(&mut sim, 60_000);
    assert_eq!((sim.join_orders(), sim.serving()["large"]), (join_orders, 1));
    assert!(
        sim.stage_orders() <= stage_orders + 16,
        "more than one second model staged per target"
    );
}

/// Replicas must not be dissolved while the store is unavailable, because none could be formed.
#[test]
fn demand_moves_store_unavailable() {
    let mut sim = serving_domain();
    sim.store_answers = false;
    set_shares(&mut sim, 0.25);
    run_finishing_requests(&mut sim, 10_000);
    assert_eq!((sim.serving()["large"], sim.serving()["small"]), (2, 4));
    sim.store_answers = true;
    run_finishing_requests(&mut sim, 10_000);
    assert_eq!((sim.serving()["large"], sim.serving()["small"]), (1, 6));
}
