//! The slots of pooled replicas are shared by the demand of the nodes' callers.
//!
//! Each test compares with even shares in the same run, and prints its figures with `--nocapture`.

mod cluster;

use cluster::{Cluster, Outcomes, SlotUse};

/// Nodes and replicas. A node has fifteen, twelve, seven or one slot on average.
const FLEETS: [(usize, u32); 4] = [(8, 6), (35, 21), (58, 20), (986, 50)];

/// Load before a loss or a move, relative to the slots.
const USUAL_UTILISATION: f64 = 0.85;

/// Bars: most requests in flight, and idle slots during refusals, relative to all slots.
const OVERFILL_MAX: f64 = 1.1;
const IDLE_MAX: f64 = 0.05;

fn new(by_demand: bool, nodes: usize, replicas: u32) -> Cluster {
    match by_demand {
        true => Cluster::with_demand(3, nodes, replicas),
        false => Cluster::with_subsets(3, nodes, replicas),
    }
}

/// Two of three nodes fail at the usual load; the others know of it after three seconds.
fn run_loss(mut cluster: Cluster, nodes: usize) -> (Outcomes, SlotUse) {
    cluster.set_utilisation(USUAL_UTILISATION);
    cluster.run(6_000);
    let failed: Vec<usize> = (0..nodes).filter(|node| node % 3 != 1).collect();
    cluster.fail_nodes(&failed);
    (cluster.run(3_000), cluster.slot_use)
}

/// All callers are at a quarter of the nodes, and move to another quarter.
fn run_move(mut cluster: Cluster, nodes: usize) -> (Outcomes, SlotUse) {
    let weight = |node: usize, half: usize| if node % 4 == half { 1.0 } else { 0.01 };
    cluster.set_utilisation(USUAL_UTILISATION);
    cluster.set_weights((0..nodes).map(|node| weight(node, 0)).collect());
    cluster.run(6_000);
    cluster.set_weights((0..nodes).map(|node| weight(node, 1)).collect());
    (cluster.run(3_000), cluster.slot_use)
}

/// The load rises from 0.7 to 1.5 of the slots.
fn run_surge(mut cluster: Cluster) -> (Outcomes, SlotUse) {
    cluster.set_utilisation(0.7);
    cluster.run(7_000);
    cluster.set_utilisation(1.5);
    (cluster.run(4_000), cluster.slot_use)
}

/// With even shares, the survivors of a loss refuse requests while slots are free.
#[test]
fn loss_refuses_less_than_even_shares() {
    for (nodes, replicas) in FLEETS {
        let (_, even) = run_loss(new(false, nodes, replicas), nodes);
        let (outcomes, by_demand) = run_loss(new(true, nodes, replicas), nodes);
        println!("loss, {nodes} nodes: even {even:?}, by demand {by_demand:?}, {outcomes:?}");
        assert!(by_demand.refused_idle * 2 < even.refused_idle, "{nodes}: {by_demand:?}, {even:?}");
        assert!(by_demand.overfill < OVERFILL_MAX, "{nodes} nodes: {by_demand:?}");
    }
}

/// Lost reports, among them those of relays, must not make shares by demand worse than even ones.
#[test]
fn loss_with_lost_reports() {
    for (nodes, replicas) in FLEETS {
        let (_, even) = run_loss(new(false, nodes, replicas), nodes);
        let mut cluster = new(true, nodes, replicas);
        cluster.set_lost(0.2);
        let (_, by_demand) = run_loss(cluster, nodes);
        println!("loss, a fifth of the reports lost, {nodes} nodes: {by_demand:?}");
        assert!(by_demand.refused_idle < even.refused_idle, "{nodes}: {by_demand:?}, {even:?}");
        assert!(by_demand.overfill < OVERFILL_MAX, "{nodes} nodes: {by_demand:?}");
    }
}

/// Callers that move must find slots at the nodes that they move to.
#[test]
fn move_refuses_less_than_even_shares() {
    for (nodes, replicas) in FLEETS {
        let (_, even) = run_move(new(false, nodes, replicas), nodes);
        let (outcomes, by_demand) = run_move(new(true, nodes, replicas), nodes);
        println!("move, {nodes} nodes: even {even:?}, by demand {by_demand:?}, {outcomes:?}");
        assert!(by_demand.refused_idle * 2 < even.refused_idle, "{nodes}: {by_demand:?}");
        assert!(by_demand.overfill < OVERFILL_MAX, "{nodes} nodes: {by_demand:?}");
    }
}

/// In a surge, own demands rise before the total does; the nodes must not fill the queues of the
/// replicas more than with even shares.
#[test]
fn surge_keeps_more_answers_in_time_than_even_shares() {
    for (nodes, replicas) in FLEETS {
        let (even, even_use) = run_surge(new(false, nodes, replicas));
        let (outcomes, by_demand) = run_surge(new(true, nodes, replicas));
        println!("surge, {nodes} nodes: even {even:?}, {even_use:?}");
        println!("surge, {nodes} nodes: by demand {outcomes:?}, {by_demand:?}");
        assert!(outcomes.in_time() >= even.in_time(), "{nodes}: {outcomes:?}, {even:?}");
        assert!(by_demand.overfill < even_use.overfill, "{nodes}: {by_demand:?}, {even_use:?}");
    }
}

/// Bar: the survivors of a loss refuse nobody while slots are free.
#[test]
fn loss_refuses_nobody_while_slots_are_free() {
    for (nodes, replicas) in FLEETS {
        let (_, slot_use) = run_loss(new(true, nodes, replicas), nodes);
        assert_eq!(slot_use.refused_idle, 0, "{nodes} nodes: {slot_use:?}");
    }
}

/// Bar: a surge overfills the replicas by less than a tenth.
#[test]
fn surge_overfill() {
    for (nodes, replicas) in FLEETS {
        let (_, slot_use) = run_surge(new(true, nodes, replicas));
        assert!(slot_use.overfill < OVERFILL_MAX, "{nodes} nodes: {slot_use:?}");
    }
}

/// Bar: under overload, under a twentieth of the slots is idle while requests are refused.
#[test]
fn surge_idle_slots_during_refusals() {
    for (nodes, replicas) in FLEETS {
        let (_, slot_use) = run_surge(new(true, nodes, replicas));
        assert!(slot_use.idle < IDLE_MAX, "{nodes} nodes: {slot_use:?}");
    }
}
