//! Members whose entry is removed while they serve on.

mod common;

use celeryhaven_types::VmName;
use common::Simulation;

/// Returns a domain whose targets all serve except one, which is free.
fn serving_domain() -> Simulation {
    let mut sim = Simulation::new(11);
    sim.run_ms(60_000);
    sim.traffic_seen = true;
    sim
}

fn serving_replicas(sim: &Simulation) -> Vec<Vec<VmName>> {
    let fleet = sim.fleet();
    let replicas = fleet.replicas().values();
    replicas.map(|replica| replica.members.iter().flatten().cloned().collect()).collect()
}

fn orders(sim: &Simulation, kind: &str) -> usize {
    sim.targets.keys().map(|name| sim.count_orders(name, kind)).sum()
}

/// A replica must not be closed or dissolved because targets that serve lose the store, whether few or
/// many, heads or members, and whether the coordinator changes meanwhile.
#[test]
fn unlisted_members_that_answer() {
    for (unlisted_per_replica, seconds) in [(1, 5), (1, 10), (2, 10)] {
        let mut sim = serving_domain();
        let replicas = serving_replicas(&sim);
        assert_eq!(replicas.len(), 4);
        let before = (orders(&sim, "close"), orders(&sim, "leave"));
        let probes = sim.probes;
        for (index, members) in replicas.iter().enumerate() {
            for offset in 0..unlisted_per_replica {
                sim.unlist(&members[(index + offset) % members.len()]);
            }
        }
        sim.run_ms(seconds * 500);
        sim.remove_coordinator(0);
        sim.add_coordinator("entry-2");
        sim.run_ms(seconds * 500);
        assert_eq!((orders(&sim, "close"), orders(&sim, "leave")), before);
        // At once and then every 2 s, and once more by the second coordinator.
        let due = replicas.len() * unlisted_per_replica * (seconds as usize / 2 + 2);
        assert!(sim.probes - probes <= due, "{} probes, {due} due", sim.probes - probes);
        for members in &replicas {
            members.iter().for_each(|name| sim.list_again(name));
        }
        sim.run_ms(3_000);
        assert_eq!((orders(&sim, "close"), orders(&sim, "leave")), before);
        assert_eq!(sim.fleet().unlisted_targets().count(), 0);
    }
}

/// Entries of targets that have ended must not stay because nothing listed contradicts them.
#[test]
fn unlisted_members_that_ended() {
    let mut sim = serving_domain();
    for members in serving_replicas(&sim) {
        members.iter().for_each(|name| sim.kill(name));
    }
    sim.run_ms(10_000);
    assert_eq!(sim.fleet().unlisted_targets().count(), 0);
    assert_eq!(sim.serving().values().sum::<usize>(), 0);
}

/// An unlisted member that stops must not hold its replica for longer than a listed one does.
#[test]
fn unlisted_member_becomes_silent() {
    let mut sim = serving_domain();
    let members = sim.members_of("large");
    sim.unlist(&members[2]);
    sim.run_ms(3_000);
    let before = sim.count_orders(&members[1], "leave");
    sim.stop(&members[2]);
    sim.run_ms(2_000);
    assert_eq!(sim.count_orders(&members[1], "leave"), before, "it may go on");
    sim.run_ms(8_000);
    assert!(sim.count_orders(&members[1], "leave") > before);
}

/// A free target without an entry must join no replica.
#[test]
fn unlisted_target_joins_nothing() {
    let mut sim = serving_domain();
    let members = sim.members_of("large");
    sim.unlist(&members[1]);
    sim.run_ms(1_000);
    let joins = sim.count_orders(&members[1], "join");
    sim.kill(&members[2]);
    sim.suspect(&members[0]);
    sim.run_ms(8_000);
    assert_eq!(sim.count_orders(&members[1], "join"), joins);
    assert_eq!(sim.serving().get("large"), None, "nine targets and one unlisted are too few");
}
