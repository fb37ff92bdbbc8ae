//! A configuration is in force on every node within a bound and never reverts.

mod common;

use celeryhaven_spread::Confirmation;
use common::{KEY, World};

const SEEDS: std::ops::Range<u64> = 0..20;

/// Longest time from a write until it is in force on every node.
const IN_FORCE_MS: u64 = 8_000;

/// Time after which a node that is cut off no longer confirms: just beyond `vouch_ms`.
const CUT_OFF_MS: u64 = 6_001;

fn converged(count: usize, data_centres: usize, seed: u64) -> World {
    let mut world = World::new(count, data_centres, seed);
    world.store.write(KEY, "first");
    world.run_ms(10_000);
    for node in 0..count {
        assert_eq!(world.value(node).as_deref(), Some("first"), "seed {seed}: node {node}");
        assert_eq!(world.confirmation(node), Confirmation::Confirmed, "seed {seed}: node {node}");
    }
    world
}

/// Returns the milliseconds from each write until it, or a later one, is in force, for each node.
fn delays(world: &World, writes: &[(u64, u64)], nodes: impl Iterator<Item = usize>) -> Vec<u64> {
    let mut delays: Vec<u64> = nodes
        .flat_map(|node| {
            let arrivals = &world.in_force[node];
            writes.iter().map(move |(version, at)| {
                let first = arrivals.range(version..).map(|(_, when)| *when).min();
                first.map_or(u64::MAX, |when| when.saturating_sub(*at))
            })
        })
        .collect();
    delays.sort_unstable();
    delays
}

fn write_many(world: &mut World, count: usize, every_ms: u64) -> Vec<(u64, u64)> {
    (0..count)
        .map(|number| {
            let version = world.store.write(KEY, &format!("change {number}"));
            let at = world.now;
            world.run_ms(every_ms);
            (version, at)
        })
        .collect()
}

fn report(label: &str, delays: &[u64]) {
    let at = |share: f64| delays[((delays.len() - 1) as f64 * share) as usize];
    println!("{label}: p50 {} ms, p99 {} ms, max {} ms", at(0.5), at(0.99), at(1.0));
}

#[test]
fn changes_in_force_at_8_nodes() {
    let mut world = converged(8, 3, 1);
    let writes = write_many(&mut world, 1_000, 700);
    world.run_ms(IN_FORCE_MS);
    let delays = delays(&world, &writes, 0..8);
    report("8 nodes, 1,000 changes", &delays);
    assert!(delays.last().is_some_and(|worst| *worst <= IN_FORCE_MS));
    assert_eq!(world.reverted, 0);
}

#[test]
fn changes_in_force_at_340_nodes() {
    let mut world = converged(340, 10, 2);
    let writes = write_many(&mut world, 20, 1_500);
    world.run_ms(IN_FORCE_MS);
    let delays = delays(&world, &writes, 0..340);
    report("340 nodes, 20 changes", &delays);
    assert!(delays.last().is_some_and(|worst| *worst <= IN_FORCE_MS));
    assert_eq!(world.reverted, 0);
}

// A restarted node reads a stale list from the Object API and serves callers with an old
// configuration.
#[test]
fn stale_read_not_confirmed() {
    for seed in SEEDS {
        let mut world = converged(8, 3, seed);
        let old = world.store.write(KEY, "old");
        world.run_ms(5_000);
        world.store.write(KEY, "new");
        world.run_ms(5_000);
        world.store.stale_at = Some(old);
        world.restart(0, seed + 900);
        for _ in 0..300 {
            world.run_ms(20);
            let is_stale = world.value(0).as_deref() != Some("new");
            assert!(
                !(is_stale && world.confirmation(0).allows_serving()),
                "seed {seed}: confirms a stale read"
            );
        }
        assert!(world.confirmation(0).allows_serving(), "seed {seed}");
        assert_eq!(world.reverted, 0, "seed {seed}");
    }
}

// A node that is cut off from its peers and the Object API goes on serving with a configuration
// that has been replaced.
#[test]
fn cut_off_node_stops_serving() {
    for seed in SEEDS {
        let mut world = converged(8, 3, seed);
        let cut = (seed % 8) as usize;
        world.partition([cut], 1);
        world.run_ms(CUT_OFF_MS);
        world.store.write(KEY, "unseen");
        assert_eq!(world.confirmation(cut), Confirmation::Withheld, "seed {seed}");
        world.run_ms(60_000);
        assert_eq!(world.confirmation(cut), Confirmation::Withheld, "seed {seed}");
        world.partition([cut], 0);
        world.run_ms(10_000);
        assert_eq!(world.confirmation(cut), Confirmation::Confirmed, "seed {seed}");
        assert_eq!(world.value(cut).as_deref(), Some("unseen"), "seed {seed}");
    }
}

// A node that is cut off goes on serving because its membership still shows all peers as alive.
#[test]
fn cut_off_node_with_slow_membership() {
    for seed in SEEDS {
        let mut world = converged(8, 3, seed);
        world.membership_lag_ms = 60_000;
        let cut = (seed % 8) as usize;
        world.partition([cut], 1);
        world.run_ms(CUT_OFF_MS);
        assert_eq!(world.confirmation(cut), Confirmation::Withheld, "seed {seed}");
    }
}

// A minority that is cut off together takes the partition for an outage of the Object API, since
// its nodes still reach each other.
#[test]
fn cut_off_minority_stops_serving() {
    for seed in SEEDS {
        let mut world = converged(8, 3, seed);
        let minority = [0, 3, 6];
        world.partition(minority, 1);
        world.run_ms(CUT_OFF_MS);
        for node in minority {
            assert_eq!(
                world.confirmation(node),
                Confirmation::Withheld,
                "seed {seed}: node {node}"
            );
        }
        for node in [1, 2, 4, 5, 7] {
            assert_eq!(
                world.confirmation(node),
                Confirmation::Confirmed,
                "seed {seed}: node {node}"
            );
        }
    }
}

// Nodes stop serving during a long outage of the Object API, or one restarted in it does not get
// the configuration from its peers.
#[test]
fn outage_for_an_hour_keeps_serving() {
    for seed in 0..5 {
        let mut world = converged(8, 3, seed);
        world.store.write(KEY, "last before");
        world.run_ms(3_000);
        world.store.is_down = true;
        world.run_ms(60_000);
        world.down.insert(2);
        world.run_ms(5_000);
        world.restart(2, seed + 77);
        world.run_ms(10_000);
        for node in 0..8 {
            assert_eq!(world.confirmation(node), Confirmation::Outage, "seed {seed}: node {node}");
            assert_eq!(world.value(node).as_deref(), Some("last before"), "seed {seed}");
        }
        let mut withheld = 0;
        for _ in 0..352 {
            world.run_ms(10_000);
            withheld += (0..8).filter(|node| !world.confirmation(*node).allows_serving()).count();
        }
        assert_eq!(withheld, 0, "seed {seed}: a node stopped serving in the outage");
        world.store.is_down = false;
        world.store.write(KEY, "after");
        world.run_ms(12_000);
        for node in 0..8 {
            assert_eq!(
                world.confirmation(node),
                Confirmation::Confirmed,
                "seed {seed}: node {node}"
            );
            assert_eq!(world.value(node).as_deref(), Some("after"), "seed {seed}");
        }
    }
}

// A node that starts during an outage serves the old configuration of a stale peer.
#[test]
fn boot_in_outage_from_stale_peer() {
    for seed in SEEDS {
        let mut world = converged(8, 3, seed);
        // Node 5 misses the last change, and the outage begins.
        world.down.insert(5);
        world.store.write(KEY, "newest");
        world.run_ms(3_000);
        world.store.is_down = true;
        world.down.remove(&5);
        world.restart(2, seed + 31);
        for _ in 0..500 {
            world.run_ms(20);
            let is_stale = world.value(2).as_deref() != Some("newest");
            assert!(!(is_stale && world.confirmation(2).allows_serving()), "seed {seed}");
        }
        assert_eq!(world.confirmation(2), Confirmation::Outage, "seed {seed}");
    }
}

// A node that starts during an outage and reaches only a stale peer goes on confirming the old
// configuration after that peer's confirmation has expired.
#[test]
fn boot_in_outage_reaching_only_stale_peer() {
    for seed in SEEDS {
        let mut world = converged(8, 3, seed);
        world.down.insert(5);
        world.store.write(KEY, "newest");
        let overtaken_at = world.now;
        world.run_ms(3_000);
        world.store.is_down = true;
        world.down.remove(&5);
        world.restart(2, seed + 31);
        world.partition([2, 5], 1);
        for _ in 0..500 {
            world.run_ms(20);
            let is_stale = world.value(2).as_deref() != Some("newest");
            let is_late = world.now > overtaken_at + CUT_OFF_MS;
            assert!(
                !(is_stale && is_late && world.confirmation(2).allows_serving()),
                "seed {seed}"
            );
        }
    }
}

// Both relays fail, membership still lists them, and a change does not reach the other nodes.
#[test]
fn relays_dead_change_in_force() {
    for seed in SEEDS {
        let mut world = converged(6, 1, seed);
        world.down.extend([0, 1]);
        world.store.write(KEY, "meanwhile");
        world.run_ms(IN_FORCE_MS);
        for node in 2..6 {
            assert_eq!(world.value(node).as_deref(), Some("meanwhile"), "seed {seed}: {node}");
        }
    }
}

// Both relays of a data centre fail and the other nodes there stop serving until membership names
// new relays.
#[test]
fn relays_dead_keeps_serving() {
    for seed in SEEDS {
        let mut world = converged(12, 3, seed);
        world.down.extend([0, 3]);
        for step in 0..400 {
            if step == 200 {
                world.update_fleet_views();
            }
            world.run_ms(25);
            for node in [6, 9] {
                assert!(
                    world.confirmation(node).allows_serving(),
                    "seed {seed}: node {node}, step {step}"
                );
            }
        }
    }
}

// A node that missed a deletion brings the object back when it compares versions with a peer.
#[test]
fn deleted_object_stays_deleted() {
    let mut world = converged(8, 3, 4);
    world.store.write("placement/a", "replicas");
    world.run_ms(5_000);
    world.down.insert(7);
    world.store.delete("placement/a");
    world.run_ms(5_000);
    world.down.remove(&7);
    world.run_ms(10_000);
    for node in 0..8 {
        assert_eq!(world.nodes[node].cache().with_prefix("placement/").count(), 0, "node {node}");
    }
}

// A deletion that no watch reported, because the store's history was truncated, is missed by the
// listing that follows.
#[test]
fn deletion_missed_by_watches() {
    let mut world = converged(8, 3, 5);
    world.store.write("placement/a", "replicas");
    world.run_ms(5_000);
    world.store.is_down = true;
    world.run_ms(3_000);
    world.store.delete("placement/a");
    world.store.oldest_watch_version = world.store.write("placement/b", "others");
    world.store.is_down = false;
    world.run_ms(15_000);
    for node in 0..8 {
        let objects: Vec<_> = world.nodes[node].cache().with_prefix("placement/").collect();
        assert_eq!(objects.len(), 1, "node {node}: {objects:?}");
    }
}

// A configuration change interrupts service on nodes that wait for their next confirmation.
#[test]
fn change_keeps_all_nodes_serving() {
    for seed in SEEDS {
        let mut world = converged(12, 3, seed);
        for change in 0..10 {
            world.store.write(KEY, &format!("change {change}"));
            for _ in 0..100 {
                world.run_ms(20);
                let withheld: Vec<_> =
                    (0..12).filter(|node| !world.confirmation(*node).allows_serving()).collect();
                assert!(withheld.is_empty(), "seed {seed}, change {change}: {withheld:?}");
            }
        }
    }
}

// A node stops serving at the start of an outage because its confirmation expires before enough
// peers have agreed.
#[test]
fn outage_start_keeps_all_nodes_serving() {
    for count in [2, 4, 8, 40] {
        for seed in SEEDS {
            let mut world = converged(count, 3, seed);
            world.store.is_down = true;
            for step in 0..1_000 {
                world.run_ms(20);
                let withheld: Vec<_> =
                    (0..count).filter(|node| !world.confirmation(*node).allows_serving()).collect();
                assert!(withheld.is_empty(), "{count} nodes, seed {seed}, {step}: {withheld:?}");
            }
        }
    }
}
