//! One decider and a domain of toy targets, under losses.

mod common;

use celeryhaven_fleet::TargetOrder;
use celeryhaven_types::ModelName;
use common::World;
use common::toy::name;

/// A domain whose targets serve but for one, which is free.
fn served() -> World {
    let mut world = World::new(11);
    world.run_ms(40_000);
    world.traffic_seen = true;
    world
}

#[test]
fn planner_empty_domain() {
    let world = served();
    let serving = world.serving();
    assert_eq!(serving["large"], 1);
    assert_eq!(serving["small"], 3);
}

/// A member that is not the head goes silent. Callers of its replica get nothing until another
/// replica is formed: the head leaves, a staged spare takes the member's place, and the replica
/// serves again within two seconds and a half.
#[test]
fn planner_member_lost_with_spare() {
    let mut world = served();
    world.run_ms(20_000);
    let lost = world.members_of("large")[2].clone();
    world.kill(&lost);
    world.run_ms(600);
    world.suspect(&lost);
    world.run_ms(2_500);
    assert_eq!(world.serving()["large"], 1);
}

/// The head goes silent. Callers wait for nobody: the members that live leave the replica at once
/// and form another, although the head may still serve behind a cut.
#[test]
fn planner_head_lost() {
    let mut world = served();
    world.run_ms(20_000);
    let members = world.members_of("large");
    world.kill(&members[0]);
    world.run_ms(600);
    world.suspect(&members[0]);
    world.run_ms(2_500);
    assert_eq!(world.serving()["large"], 1);
    assert!(world.count_orders(&members[1], "leave") > 0, "joined another without leaving");
}

/// The head is cut off from the store alone: its entry lapses, and it goes on serving those who
/// reach it. Its members must leave it before they join another replica, or they are in both.
#[test]
fn planner_head_cut_from_store() {
    let mut world = served();
    world.run_ms(20_000);
    let members = world.members_of("large");
    world.hide(&members[0]);
    world.run_ms(10_000);
    assert_eq!(world.serving()["large"], 1);
}

/// A target refuses to stage, since an earlier decider's order is still being carried out. Asked
/// again at each look at the list, it would get hundreds of orders a second.
#[test]
fn planner_stage_refused_not_hammered() {
    let mut world = World::new(11);
    world.refuses_stage = (0..11).map(name).collect();
    world.run_ms(40_000);
    let before: usize = (0..11).map(|number| world.count_orders(&name(number), "stage")).sum();
    world.run_ms(10_000);
    let after: usize = (0..11).map(|number| world.count_orders(&name(number), "stage")).sum();
    assert!(after - before <= 20, "{} orders to stage in ten seconds", after - before);
}

/// A decider dies between two joins. The next one finds members of a replica that will never be
/// whole, takes it apart and forms the domain anew, within seconds and without a target in two.
#[test]
fn planner_decider_lost_half_way() {
    let mut world = World::new(10);
    world.run_ms(300);
    world.drop_decider(0);
    world.add_decider("entry-2");
    world.run_ms(60_000);
    assert_eq!(world.serving()["large"], 1);
    assert_eq!(world.serving()["small"], 3);
}

/// Two nodes both believe that they decide. Each write of a plan is conditional, so one of them
/// fails at it; no target is ordered into two replicas.
#[test]
fn planner_two_deciders() {
    let mut world = World::new(10);
    world.add_decider("entry-2");
    world.run_ms(60_000);
    assert_eq!(world.serving()["large"], 1);
    assert_eq!(world.serving()["small"], 3);
    world.traffic_seen = true;
    let lost = world.members_of("small")[1].clone();
    world.kill(&lost);
    world.suspect(&lost);
    world.run_ms(20_000);
    assert!(world.serving()["large"] >= 1);
}

/// Orders get no answer and are carried out seconds later, after newer ones. The generation of the
/// newer plan makes the late ones harmless.
#[test]
fn planner_orders_applied_late() {
    let mut world = World::new(10);
    world.run_ms(500);
    world.delay_orders = Some(5_000);
    world.run_ms(4_000);
    world.delay_orders = None;
    world.run_ms(90_000);
    assert_eq!(world.serving()["large"], 1);
    assert_eq!(world.serving()["small"], 3);
}

/// The store is away. Replicas that serve go on, and what breaks is formed anew when it is back.
#[test]
fn planner_store_away() {
    let mut world = served();
    world.store_answers = false;
    let lost = world.members_of("small")[1].clone();
    world.kill(&lost);
    world.suspect(&lost);
    world.run_ms(3_000);
    assert_eq!(world.serving()["large"], 1);
    world.store_answers = true;
    world.run_ms(60_000);
    assert!(world.serving()["small"] >= 3);
}

/// A member's entry is removed although the target lives: it leaves without a word and serves on
/// for seconds. Taken apart at once, the replica would break off every stream that it has; instead
/// its head finishes its work first.
#[test]
fn planner_member_leaves_without_word() {
    let mut world = served();
    world.run_ms(20_000);
    let members = world.members_of("large");
    world.hide(&members[3]);
    world.run_ms(500);
    assert_eq!(world.count_orders(&members[0], "close"), 1);
    assert_eq!(world.count_orders(&members[1], "leave"), 0, "broken off while it had work");
    world.finish_work(&members[0]);
    world.run_ms(5_000);
    assert!(world.count_orders(&members[1], "leave") > 0);
    assert_eq!(world.serving()["large"], 1);
}

/// A decider starts when a member's entry is gone already: it has no address to ask. Asked again at
/// each look, the probe would end at once and start again, hundreds of times a second.
#[test]
fn planner_member_never_seen() {
    let mut world = served();
    let members = world.members_of("large");
    world.hide(&members[2]);
    world.replace_decider("entry-2");
    let before = world.probes;
    world.run_ms(5_000);
    assert!(world.probes - before <= 10, "{} probes in five seconds", world.probes - before);
    assert_eq!(world.serving()["large"], 1);
}

/// A member starts again under its name: it is listed and in no replica. Asked whether it leaves,
/// it would answer each time, and be asked again at each look, thousands of times a second.
#[test]
fn planner_member_restarts() {
    let mut world = served();
    let members = world.members_of("large");
    world.restart(&members[2]);
    let before = world.probes;
    world.run_ms(5_000);
    assert!(world.probes - before <= 10, "{} probes in five seconds", world.probes - before);
    assert_eq!(world.serving()["large"], 1);
}

/// Eight empty targets come at once while callers are served. Staged all together they share the
/// weights store's speed, and the first is warm after a minute; callers wait for replicas that one
/// load would have made whole. Two at a time, the first two are warm after one load.
#[test]
fn planner_loads_take_turns() {
    let mut world = served();
    world.run_ms(20_000);
    (11..19).for_each(|number| world.add(number));
    for _ in 0..200 {
        world.run_ms(100);
        assert!(world.loads_under_way() <= 2, "{} loads at once", world.loads_under_way());
    }
    let warm = (11..19).filter(|&number| !world.toys[&name(number)].entry.staged.is_empty());
    assert!(warm.count() >= 2);
    // Serving targets stage a second model after those that came empty.
    world.run_ms(300_000);
    assert_eq!(world.loads_under_way(), 0);
}

/// All nodes start again while callers are served. A decider that takes this for the time before
/// the first request stages everything at once, and each load takes many times as long.
#[test]
fn planner_restart_loads_take_turns() {
    let mut world = served();
    let lost = world.members_of("small")[1].clone();
    world.kill(&lost);
    world.suspect(&lost);
    world.run_ms(5_000);
    world.traffic_seen = false;
    world.replace_decider("entry-2");
    // Those of the earlier decider go on.
    let before = world.loads_under_way();
    (11..19).for_each(|number| world.add(number));
    for _ in 0..100 {
        world.run_ms(100);
        let new = world.loads_under_way().saturating_sub(before);
        assert!(new <= 2, "{new} loads at once");
    }
}

/// Losses leave three members of the large model and none of a small one, and empty targets come.
/// One load makes the large replica whole, the small one needs two: staged in the order of models
/// or of names alone, the large one would wait for loads that serve fewer callers.
#[test]
fn planner_nearest_replica_loads_first() {
    let mut world = served();
    world.run_ms(20_000);
    let spares: Vec<_> = world.toys.values().filter(|toy| toy.entry.membership.is_none()).collect();
    let spares: Vec<_> = spares.into_iter().map(|toy| toy.entry.name.clone()).collect();
    spares.iter().for_each(|target| world.kill(target));
    world.run_ms(4_000);
    for target in [&world.members_of("large")[3..], &world.members_of("small")[..]].concat() {
        world.kill(&target);
        world.suspect(&target);
    }
    (11..14).for_each(|number| world.add(number));
    world.run_ms(1_500);
    let staged: Vec<_> = (11..14)
        .filter_map(|number| world.staged_last(&name(number)))
        .map(ModelName::as_str)
        .collect();
    assert!(staged.contains(&"large"), "{staged:?}");
    world.run_ms(19_000);
    assert_eq!(world.serving()["large"], 1);
}

/// A large replica breaks while a small one is missing and no empty target is there. Its survivors
/// leave one after another; a decider that looks at the first two alone sees a pair for the small
/// model and loads it there, although the next target that comes would make the large one whole.
#[test]
fn planner_survivors_keep_their_model() {
    let mut world = served();
    world.run_ms(20_000);
    let spares: Vec<_> = world.toys.values().filter(|toy| toy.entry.membership.is_none()).collect();
    let spares: Vec<_> = spares.into_iter().map(|toy| toy.entry.name.clone()).collect();
    spares.iter().for_each(|target| world.kill(target));
    world.run_ms(4_000);
    let large = world.members_of("large");
    for target in [&large[3..], &world.members_of("small")[..]].concat() {
        world.kill(&target);
        world.suspect(&target);
    }
    let staged = |world: &World| -> usize {
        large.iter().map(|target| world.count_orders(target, "stage")).sum()
    };
    let before = staged(&world);
    world.run_ms(10_000);
    assert_eq!(staged(&world), before);
    world.add(11);
    world.run_ms(20_000);
    assert_eq!(world.serving()["large"], 1);
}

/// The store turns every call away at once while a replica is to be formed. A decider that asks
/// again as soon as it is refused makes hundreds of calls a second, which count against the rate
/// that all nodes share, and delay the store's return.
#[test]
fn planner_refused_reads_pause() {
    let mut world = served();
    world.store_answers = false;
    let lost = world.members_of("large")[1].clone();
    world.kill(&lost);
    world.suspect(&lost);
    let before = world.reads;
    world.run_ms(5_000);
    assert!(world.reads - before <= 10, "{} reads in five seconds", world.reads - before);
    world.store_answers = true;
    world.run_ms(4_000);
    assert_eq!(world.serving()["large"], 1);
}

/// The store turns the decider away while a replica breaks: it takes it apart and can plan nothing.
/// The next decider has seen that replica in the list before, so its record is not of a new plan;
/// taken for new, it kept the survivors idle for a second and a half more.
#[test]
fn planner_next_decider_plans_at_once() {
    let mut world = served();
    world.run_ms(20_000);
    world.store_answers = false;
    let members = world.members_of("large");
    world.kill(&members[2]);
    world.suspect(&members[2]);
    world.run_ms(4_000);
    world.store_answers = true;
    world.replace_decider("entry-2");
    world.run_ms(500);
    assert!(world.toys[&members[1]].entry.membership.is_some(), "no plan yet");
}

/// A node gives up its domain and takes it back. Its first plan has the name of its first plan of
/// before, the write meets a newer record, and the record that is read anew still holds the old plan.
/// Taken for the new one, it was begun again: targets joined a replica that they had left, while its
/// head, cut off, was still open, and were ordered into another one next.
#[test]
fn planner_name_used_before() {
    let mut world = served();
    world.run_ms(20_000);
    world.store_answers = false;
    world.kill(&name(1));
    world.suspect(&name(1));
    world.run_ms(4_000);
    world.store_answers = true;
    world.replace_decider("entry-1");
    world.run_ms(100);
    world.write_by_another();
    world.run_ms(25_000);
    let joins = world.toys[&name(0)].orders.iter().filter_map(|order| match order {
        TargetOrder::Join { replica, generation, .. } => Some((replica, generation)),
        _ => None,
    });
    let mut formations: Vec<_> = joins.collect();
    let count = formations.len();
    formations.sort_unstable();
    formations.dedup();
    assert_eq!(formations.len(), count, "joined the same formation again: {formations:?}");
    assert_eq!(world.serving()["small"], 3);
}
