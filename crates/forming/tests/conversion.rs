//! Targets that change their model where another lacks them more.

mod common;

use celeryhaven_types::{ModelName, VmName};
use common::World;
use common::toy::name;

/// A domain whose targets all serve, for long enough that each has staged a second model.
fn served(targets: usize) -> World {
    let mut world = World::new(targets);
    world.run_ms(80_000);
    world.traffic_seen = true;
    world
}

fn lose(world: &mut World, targets: &[VmName]) {
    for target in targets {
        world.kill(target);
    }
    world.run_ms(600);
    for target in targets {
        world.suspect(target);
    }
}

/// Lets time pass in which heads that close finish their work at once.
fn run_and_finish(world: &mut World, span_ms: u64) {
    for _ in 0..span_ms / 100 {
        world.run_ms(100);
        world.finish_all_work();
    }
}

#[test]
fn staging_second_model() {
    let world = served(10);
    for toy in world.toys.values() {
        let entry = &toy.entry;
        let has = |model| {
            let model = ModelName::new(model);
            entry.model.as_ref() == Some(&model) || entry.staged.contains(&model)
        };
        assert!(has("large") && has("small"), "{} has one model alone", entry.name);
    }
}

/// The large replica loses a member and no target is free. Its three survivors would wait for an
/// empty target to come and load, sixteen seconds at best, while three small replicas serve. One of
/// those is given up, its head finishes its work, and the large replica serves within five seconds.
#[test]
fn conversion_large_member_lost() {
    let mut world = served(10);
    let lost = world.members_of("large")[2].clone();
    lose(&mut world, &[lost]);
    run_and_finish(&mut world, 5_000);
    assert_eq!(world.serving()["large"], 1);
    assert_eq!(world.serving()["small"], 2);
}

/// All members of the large replica are lost at once. Two small replicas are given up together, and
/// one ends a second before the other: its members must wait, or they are the same small replica
/// again and nobody ever serves the large model.
#[test]
fn conversion_two_given_up_together() {
    let mut world = served(10);
    let lost = world.members_of("large");
    lose(&mut world, &lost);
    let mut closing = Vec::new();
    for _ in 0..100 {
        world.run_ms(100);
        closing = world.closing_heads();
        if closing.len() == 2 {
            break;
        }
    }
    assert_eq!(closing.len(), 2, "two small replicas make room for a large one");
    world.finish_work(&closing[0]);
    world.run_ms(1_000);
    world.finish_work(&closing[1]);
    world.run_ms(3_000);
    assert_eq!(world.serving()["large"], 1);
}

/// Survivors of the large replica have the small model staged, and the small replica is lost. As a
/// small replica they would lose the large model, so they wait for the empty target that comes.
#[test]
fn conversion_survivors_of_needier_model() {
    let mut world = served(6);
    let mut lost = world.members_of("small");
    lost.push(world.members_of("large")[3].clone());
    lose(&mut world, &lost);
    world.run_ms(3_000);
    assert!(world.serving().is_empty());
    world.add(6);
    world.run_ms(20_000);
    assert_eq!(world.serving()["large"], 1);
}

/// Targets that are told to stage refuse, since they still do for an earlier decider. Each refusal
/// doubles the pause, so that the order is not repeated for as long as the load goes on.
#[test]
fn staging_refused_pauses_longer() {
    let mut world = World::new(6);
    world.refuses_stage = (0..6).map(name).collect();
    world.run_ms(60_000);
    let asked = |world: &World| -> usize {
        (0..6).map(|number| world.count_orders(&name(number), "stage")).sum()
    };
    let before = asked(&world);
    world.run_ms(24_000);
    assert!(asked(&world) - before <= 12, "{} orders", asked(&world) - before);
}
