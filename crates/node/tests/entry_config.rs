//! No entry reverts to an older configuration or placement.

mod common;

use std::collections::BTreeMap;

use celeryhaven_checks::Bounds;
use celeryhaven_types::Boot;
use common::{Fault, World};

const BOUNDS: Bounds = Bounds { loss_ms: 1_500, leaving_ms: 3_000 };
const ENTRIES: usize = 4;

/// Runs in steps and records the configuration number of every process; none may decrease.
fn watch(world: &mut World, until_ms: u64, in_force: &mut BTreeMap<Boot, u64>) {
    while world.now < until_ms {
        world.run_until(world.now + 1);
        for (boot, number) in (0..ENTRIES).filter_map(|entry| world.config_number(entry)) {
            let before = in_force.insert(boot, number).unwrap_or_default();
            assert!(before <= number, "{boot} reverted from {before} to {number}");
        }
    }
}

#[test]
fn config_never_reverts() {
    // Half of all lists are outdated, and entries are paused and replaced, while the configuration
    // changes every 20 ms.
    let mut world = World::new(71, ENTRIES, BOUNDS);
    world.stale_lists = 500;
    let mut in_force = BTreeMap::new();
    watch(&mut world, 1_000, &mut in_force);
    for n in 0..8 {
        let entry = n % ENTRIES;
        let at_ms = 1_100 + 700 * n as u64;
        world.fault(at_ms, Fault::PauseEntry { entry, for_ms: 1_700 });
        world.fault(at_ms + 2_000, Fault::KillEntry(entry));
        world.fault(at_ms + 2_100, Fault::StartEntry(entry));
    }
    for _ in 0..300 {
        world.change_config();
        let next = world.now + 20;
        watch(&mut world, next, &mut in_force);
    }
    watch(&mut world, 12_000, &mut in_force);
    let last = (0..ENTRIES).filter_map(|entry| world.config_number(entry));
    let last: Vec<u64> = last.map(|(_, number)| number).collect();
    assert_eq!(last, vec![301; ENTRIES]);
}

#[test]
fn config_placement_never_reverts() {
    // The same with a replica that is re-formed every 100 ms. A reverted entry would send to an old
    // generation.
    let mut world = World::new(73, ENTRIES, BOUNDS);
    world.stale_lists = 500;
    for n in 0..4 {
        world.fault(1_100 + 2_000 * n, Fault::PauseEntry { entry: 1, for_ms: 1_600 });
    }
    for n in 0..80 {
        world.fault(1_000 + 100 * n, Fault::ReformReplica { replica: "r1" });
    }
    let mut in_force = BTreeMap::new();
    while world.now < 12_000 {
        world.run_until(world.now + 1);
        for (boot, number) in (0..ENTRIES).filter_map(|entry| world.generation(entry, "r1")) {
            let before = in_force.insert(boot, number).unwrap_or_default();
            assert!(before <= number, "{boot} reverted from {before} to {number}");
        }
    }
    assert!(in_force.values().all(|generation| *generation == 81), "{in_force:?}");
}

#[test]
fn config_survives_outage() {
    // After an outage of one minute, entries receive a new configuration within the longest retry
    // interval.
    let mut world = World::new(72, ENTRIES, BOUNDS);
    let mut in_force = BTreeMap::new();
    world.fault(2_000, Fault::StoreDown { for_ms: 60_000 });
    watch(&mut world, 62_000, &mut in_force);
    world.change_config();
    watch(&mut world, 67_000, &mut in_force);
    let last = (0..ENTRIES).filter_map(|entry| world.config_number(entry));
    assert!(last.map(|(_, number)| number).all(|number| number == 2));
}
