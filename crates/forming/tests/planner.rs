//! Formation of replicas in a domain of fake targets that are lost.

mod common;

use celeryhaven_fleet::TargetOrder;
use celeryhaven_types::ModelName;
use common::Simulation;
use common::fake_target::name;

/// Returns a domain whose targets all serve except one, which is free.
fn serving_domain() -> Simulation {
    let mut sim = Simulation::new(11);
    sim.run_ms(40_000);
    sim.traffic_seen = true;
    sim
}

#[test]
fn planner_empty_domain() {
    let sim = serving_domain();
    let serving = sim.serving();
    assert_eq!(serving["large"], 1);
    assert_eq!(serving["small"], 3);
}

/// A staged spare must replace a lost member within seconds.
#[test]
fn planner_member_lost_with_spare() {
    let mut sim = serving_domain();
    sim.run_ms(20_000);
    let lost = sim.members_of("large")[2].clone();
    sim.kill(&lost);
    sim.run_ms(600);
    sim.suspect(&lost);
    sim.run_ms(2_500);
    assert_eq!(sim.serving()["large"], 1);
}

/// The survivors must form another replica without an answer from the lost head, which may still
/// serve behind a network partition.
#[test]
fn planner_head_lost() {
    let mut sim = serving_domain();
    sim.run_ms(20_000);
    let members = sim.members_of("large");
    sim.kill(&members[0]);
    sim.run_ms(600);
    sim.suspect(&members[0]);
    sim.run_ms(2_500);
    assert_eq!(sim.serving()["large"], 1);
    assert!(sim.count_orders(&members[1], "leave") > 0, "joined another without leaving");
}

/// Members must leave a head that leaves without notice, and still serves, before they join another
/// replica.
#[test]
fn planner_head_leaves_unlisted() {
    let mut sim = serving_domain();
    sim.run_ms(20_000);
    let members = sim.members_of("large");
    sim.leave_unlisted(&members[0]);
    sim.run_ms(10_000);
    assert!(sim.count_orders(&members[1], "leave") > 0);
    assert_eq!(sim.serving()["large"], 1);
}

/// A target that refuses to stage must not receive the order again in each step.
#[test]
fn planner_stage_refused_backs_off() {
    let mut sim = Simulation::new(11);
    sim.refuses_stage = (0..11).map(name).collect();
    sim.run_ms(40_000);
    let before: usize = (0..11).map(|number| sim.count_orders(&name(number), "stage")).sum();
    sim.run_ms(10_000);
    let after: usize = (0..11).map(|number| sim.count_orders(&name(number), "stage")).sum();
    assert!(after - before <= 20, "{} orders to stage in ten seconds", after - before);
}

/// A replica that the previous coordinator left half formed must be dissolved and formed again.
#[test]
fn planner_coordinator_lost_mid_formation() {
    let mut sim = Simulation::new(10);
    sim.run_ms(300);
    sim.remove_coordinator(0);
    sim.add_coordinator("entry-2");
    sim.run_ms(60_000);
    assert_eq!(sim.serving()["large"], 1);
    assert_eq!(sim.serving()["small"], 3);
}

/// Two nodes that both act as coordinator must not order a target into two replicas.
#[test]
fn planner_two_coordinators() {
    let mut sim = Simulation::new(10);
    sim.add_coordinator("entry-2");
    sim.run_ms(60_000);
    assert_eq!(sim.serving()["large"], 1);
    assert_eq!(sim.serving()["small"], 3);
    sim.traffic_seen = true;
    let lost = sim.members_of("small")[1].clone();
    sim.kill(&lost);
    sim.suspect(&lost);
    sim.run_ms(20_000);
    assert!(sim.serving()["large"] >= 1);
}

/// Orders that are executed after newer ones must have no effect.
#[test]
fn planner_orders_applied_late() {
    let mut sim = Simulation::new(10);
    sim.run_ms(500);
    sim.order_delay_ms = Some(5_000);
    sim.run_ms(4_000);
    sim.order_delay_ms = None;
    sim.run_ms(90_000);
    assert_eq!(sim.serving()["large"], 1);
    assert_eq!(sim.serving()["small"], 3);
}

/// Serving replicas must survive a store outage, and lost ones are formed again after it.
#[test]
fn planner_store_unavailable() {
    let mut sim = serving_domain();
    sim.store_answers = false;
    let lost = sim.members_of("small")[1].clone();
    sim.kill(&lost);
    sim.suspect(&lost);
    sim.run_ms(3_000);
    assert_eq!(sim.serving()["large"], 1);
    sim.store_answers = true;
    sim.run_ms(60_000);
    assert!(sim.serving()["small"] >= 3);
}

/// A member that leaves without notice must not break the streams of its replica: the head closes and
/// finishes first.
#[test]
fn planner_member_leaves_unlisted() {
    let mut sim = serving_domain();
    sim.run_ms(20_000);
    let members = sim.members_of("large");
    sim.leave_unlisted(&members[3]);
    sim.run_ms(1_000);
    assert_eq!(sim.count_orders(&members[0], "close"), 1);
    assert_eq!(
        sim.count_orders(&members[1], "leave"),
        0,
        "ordered to leave before the head had finished"
    );
    sim.finish_requests(&members[0]);
    sim.run_ms(5_000);
    assert!(sim.count_orders(&members[1], "leave") > 0);
    assert_eq!(sim.serving()["large"], 1);
}

/// A member without a known address must not be probed in each step.
#[test]
fn planner_member_address_unknown() {
    let mut sim = serving_domain();
    let members = sim.members_of("large");
    sim.unlist(&members[2]);
    sim.replace_coordinator("entry-2");
    let before = sim.probes;
    sim.run_ms(5_000);
    assert!(sim.probes - before <= 10, "{} probes in five seconds", sim.probes - before);
    assert_eq!(sim.serving()["large"], 1);
}

/// A member that restarted under its name must not be probed in each step.
#[test]
fn planner_member_restarts() {
    let mut sim = serving_domain();
    let members = sim.members_of("large");
    sim.restart(&members[2]);
    let before = sim.probes;
    sim.run_ms(5_000);
    assert!(sim.probes - before <= 10, "{} probes in five seconds", sim.probes - before);
    assert_eq!(sim.serving()["large"], 1);
}

/// Empty targets that arrive together must not all load at once, which would delay the first.
#[test]
fn planner_concurrent_loads_limited() {
    let mut sim = serving_domain();
    sim.run_ms(20_000);
    (11..19).for_each(|number| sim.add(number));
    for _ in 0..200 {
        sim.run_ms(100);
        assert!(sim.loads_under_way() <= 2, "{} loads at once", sim.loads_under_way());
    }
    let warm = (11..19).filter(|&number| !sim.targets[&name(number)].entry.staged.is_empty());
    assert!(warm.count() >= 2);
    // Serving targets stage a second model once no target is empty.
    sim.run_ms(300_000);
    assert_eq!(sim.loads_under_way(), 0);
}

/// Loads must stay limited when all nodes restart while callers are served.
#[test]
fn planner_concurrent_loads_limited_after_restart() {
    let mut sim = serving_domain();
    let lost = sim.members_of("small")[1].clone();
    sim.kill(&lost);
    sim.suspect(&lost);
    sim.run_ms(5_000);
    sim.traffic_seen = false;
    sim.replace_coordinator("entry-2");
    // Loads ordered by the previous coordinator continue.
    let before = sim.loads_under_way();
    (11..19).for_each(|number| sim.add(number));
    for _ in 0..100 {
        sim.run_ms(100);
        let new = sim.loads_under_way().saturating_sub(before);
        assert!(new <= 2, "{new} loads at once");
    }
}

/// The replica that needs the fewest loads must come first.
#[test]
fn planner_replica_with_fewest_loads_first() {
    let mut sim = serving_domain();
    sim.run_ms(20_000);
    let spares: Vec<_> =
        sim.targets.values().filter(|fake| fake.entry.membership.is_none()).collect();
    let spares: Vec<_> = spares.into_iter().map(|fake| fake.entry.name.clone()).collect();
    spares.iter().for_each(|target| sim.kill(target));
    sim.run_ms(4_000);
    for target in [&sim.members_of("large")[3..], &sim.members_of("small")[..]].concat() {
        sim.kill(&target);
        sim.suspect(&target);
    }
    (11..14).for_each(|number| sim.add(number));
    sim.run_ms(1_500);
    let staged: Vec<_> = (11..14)
        .filter_map(|number| sim.last_staged(&name(number)))
        .map(ModelName::as_str)
        .collect();
    assert!(staged.contains(&"large"), "{staged:?}");
    sim.run_ms(19_000);
    assert_eq!(sim.serving()["large"], 1);
}

/// Survivors that leave one after the other must not load another model, which a replica of their
/// own would then lack.
#[test]
fn planner_survivors_keep_their_model() {
    let mut sim = serving_domain();
    sim.run_ms(20_000);
    let spares: Vec<_> =
        sim.targets.values().filter(|fake| fake.entry.membership.is_none()).collect();
    let spares: Vec<_> = spares.into_iter().map(|fake| fake.entry.name.clone()).collect();
    spares.iter().for_each(|target| sim.kill(target));
    sim.run_ms(4_000);
    let large = sim.members_of("large");
    for target in [&large[3..], &sim.members_of("small")[..]].concat() {
        sim.kill(&target);
        sim.suspect(&target);
    }
    let staged = |sim: &Simulation| -> usize {
        large.iter().map(|target| sim.count_orders(target, "stage")).sum()
    };
    let before = staged(&sim);
    sim.run_ms(10_000);
    assert_eq!(staged(&sim), before);
    sim.add(11);
    sim.run_ms(20_000);
    assert_eq!(sim.serving()["large"], 1);
}

/// A store that rejects every call must not be called in a tight loop.
#[test]
fn planner_rejected_reads_back_off() {
    let mut sim = serving_domain();
    sim.store_answers = false;
    let lost = sim.members_of("large")[1].clone();
    sim.kill(&lost);
    sim.suspect(&lost);
    let before = sim.reads;
    sim.run_ms(5_000);
    assert!(sim.reads - before <= 10, "{} reads in five seconds", sim.reads - before);
    sim.store_answers = true;
    sim.run_ms(4_000);
    assert_eq!(sim.serving()["large"], 1);
}

/// A new coordinator must not take a dissolved replica in the record for a new plan and keep its
/// members idle.
#[test]
fn planner_next_coordinator_plans_at_once() {
    let mut sim = serving_domain();
    sim.run_ms(20_000);
    sim.store_answers = false;
    let members = sim.members_of("large");
    sim.kill(&members[2]);
    sim.suspect(&members[2]);
    sim.run_ms(4_000);
    sim.store_answers = true;
    sim.replace_coordinator("entry-2");
    sim.run_ms(500);
    assert!(sim.targets[&members[1]].entry.membership.is_some(), "no plan yet");
}

/// A coordinator that returns to its domain must not take its old plan in the record for a new one
/// and let targets join the same replica twice.
#[test]
fn planner_replica_name_reused() {
    let mut sim = serving_domain();
    sim.run_ms(20_000);
    sim.store_answers = false;
    sim.kill(&name(1));
    sim.suspect(&name(1));
    sim.run_ms(4_000);
    sim.store_answers = true;
    sim.replace_coordinator("entry-1");
    sim.run_ms(100);
    sim.write_by_other_coordinator();
    sim.run_ms(25_000);
    let join_orders = sim.targets[&name(0)].orders.iter().filter_map(|order| match order {
        TargetOrder::Join { replica, generation, .. } => Some((replica, generation)),
        _ => None,
    });
    let mut formations: Vec<_> = join_orders.collect();
    let count = formations.len();
    formations.sort_unstable();
    formations.dedup();
    assert_eq!(formations.len(), count, "joined the same formation again: {formations:?}");
    assert_eq!(sim.serving()["small"], 3);
}
