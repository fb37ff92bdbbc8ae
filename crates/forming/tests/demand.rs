//! Replicas of models whose demand changes while callers are served.

mod common;

use common::World;

/// Targets that serve both models by equal shares, each with the other model on its host.
fn served() -> World {
    let mut world = World::new(16);
    world.run_ms(90_000);
    world.traffic_seen = true;
    world
}

fn set_shares(world: &mut World, large: f64) {
    world.profile.models[0].share = large;
    world.profile.models[1].share = 1.0 - large;
}

fn run_and_finish(world: &mut World, span_ms: u64) {
    for _ in 0..span_ms / 100 {
        world.run_ms(100);
        world.finish_all_work();
    }
}

/// Guards against a model that stays short of replicas while another's are idle.
#[test]
fn demand_moves_to_small() {
    let mut world = served();
    assert_eq!((world.serving()["large"], world.serving()["small"]), (2, 4));
    set_shares(&mut world, 0.25);
    run_and_finish(&mut world, 10_000);
    assert_eq!((world.serving()["large"], world.serving()["small"]), (1, 6));
}

/// Guards against replicas that are given up in turn for one another.
#[test]
fn demand_settles() {
    let mut world = served();
    set_shares(&mut world, 0.25);
    run_and_finish(&mut world, 10_000);
    let loads = world.loads();
    let joins = world.joins();
    run_and_finish(&mut world, 60_000);
    assert_eq!((world.joins(), world.serving()["large"]), (joins, 1));
    assert!(world.loads() <= loads + 16, "a second model for each target at most");
}

/// Guards against replicas that are given up while the store is away: nothing can be formed of them.
#[test]
fn demand_moves_while_store_is_away() {
    let mut world = served();
    world.store_answers = false;
    set_shares(&mut world, 0.25);
    run_and_finish(&mut world, 10_000);
    assert_eq!((world.serving()["large"], world.serving()["small"]), (2, 4));
    world.store_answers = true;
    run_and_finish(&mut world, 10_000);
    assert_eq!((world.serving()["large"], world.serving()["small"]), (1, 6));
}
