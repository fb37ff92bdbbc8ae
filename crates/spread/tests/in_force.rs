//! An accepted configuration is in force everywhere within seconds and never reverts.

mod common;

use celeryhaven_spread::Confirmation;
use common::{KEY, World};

const SEEDS: std::ops::Range<u64> = 0..20;

/// What the users ask for.
const IN_FORCE_MS: u64 = 8_000;

/// Longest time a node that is cut off goes on vouching: `vouch_ms`, and one millisecond since
/// the age has to pass it.
const CUT_OFF_MS: u64 = 6_001;

fn settled(count: usize, data_centres: usize, seed: u64) -> World {
    let mut world = World::new(count, data_centres, seed);
    world.store.write(KEY, "first");
    world.run_ms(10_000);
    for node in 0..count {
        assert_eq!(world.value(node).as_deref(), Some("first"), "seed {seed}: node {node}");
        assert_eq!(world.confirmation(node), Confirmation::Confirmed, "seed {seed}: node {node}");
    }
    world
}

/// Milliseconds from each write to its being in force, or overtaken, at each node.
fn delays(world: &World, writes: &[(u64, u64)], nodes: impl Iterator<Item = usize>) -> Vec<u64> {
    let mut delays: Vec<u64> = nodes
        .flat_map(|node| {
            let came = &world.in_force[node];
            writes.iter().map(move |(version, at)| {
                let first = came.range(version..).map(|(_, when)| *when).min();
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
    let mut world = settled(8, 3, 1);
    let writes = write_many(&mut world, 1_000, 700);
    world.run_ms(IN_FORCE_MS);
    let delays = delays(&world, &writes, 0..8);
    report("8 nodes, 1,000 changes", &delays);
    assert!(delays.last().is_some_and(|worst| *worst <= IN_FORCE_MS));
    assert_eq!(world.reverted, 0);
}

#[test]
fn changes_in_force_at_340_nodes() {
    let mut world = settled(340, 10, 2);
    let writes = write_many(&mut world, 20, 1_500);
    world.run_ms(IN_FORCE_MS);
    let delays = delays(&world, &writes, 0..340);
    report("340 nodes, 20 changes", &delays);
    assert!(delays.last().is_some_and(|worst| *worst <= IN_FORCE_MS));
    assert_eq!(world.reverted, 0);
}

// The Object API answers lists from an old state, and a fresh node reads one. It may hold the old
// configuration for a moment, but it may not vouch for it: callers would get an old answer.
#[test]
fn old_read_not_vouched() {
    for seed in SEEDS {
        let mut world = settled(8, 3, seed);
        let old = world.store.write(KEY, "old");
        world.run_ms(5_000);
        world.store.write(KEY, "new");
        world.run_ms(5_000);
        world.store.stale_at = Some(old);
        world.restart(0, seed + 900);
        for _ in 0..300 {
            world.run_ms(20);
            let is_old = world.value(0).as_deref() != Some("new");
            assert!(
                !(is_old && world.confirmation(0).allows_serving()),
                "seed {seed}: vouches for an old read"
            );
        }
        assert!(world.confirmation(0).allows_serving(), "seed {seed}");
        assert_eq!(world.reverted, 0, "seed {seed}");
    }
}

// One node loses its links to peers and Object API. Operators change the configuration meanwhile.
// The node cannot know, so it must stop taking requests within seconds, and come back after.
#[test]
fn cut_off_node_stops_vouching() {
    for seed in SEEDS {
        let mut world = settled(8, 3, seed);
        let cut = (seed % 8) as usize;
        world.regroup([cut], 1);
        world.run_ms(CUT_OFF_MS);
        world.store.write(KEY, "unseen");
        assert_eq!(world.confirmation(cut), Confirmation::Withheld, "seed {seed}");
        world.run_ms(60_000);
        assert_eq!(world.confirmation(cut), Confirmation::Withheld, "seed {seed}");
        world.regroup([cut], 0);
        world.run_ms(10_000);
        assert_eq!(world.confirmation(cut), Confirmation::Confirmed, "seed {seed}");
        assert_eq!(world.value(cut).as_deref(), Some("unseen"), "seed {seed}");
    }
}

// The same cut, while the node's membership still believes everybody alive. Having heard nobody
// for seconds must be enough for it to stop.
#[test]
fn cut_off_node_with_slow_membership() {
    for seed in SEEDS {
        let mut world = settled(8, 3, seed);
        world.membership_lag_ms = 60_000;
        let cut = (seed % 8) as usize;
        world.regroup([cut], 1);
        world.run_ms(CUT_OFF_MS);
        assert_eq!(world.confirmation(cut), Confirmation::Withheld, "seed {seed}");
    }
}

// A data centre of three nodes out of eight is cut off together. Its nodes hear each other, so
// hearing somebody must not be enough for them to take the cut for an outage.
#[test]
fn cut_off_minority_stops_vouching() {
    for seed in SEEDS {
        let mut world = settled(8, 3, seed);
        let minority = [0, 3, 6];
        world.regroup(minority, 1);
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

// The Object API is down for an hour. Nothing can be accepted meanwhile, so every node must go on
// serving; one that is replaced in the outage gets the configuration from its peers.
#[test]
fn outage_for_an_hour_serves_on() {
    for seed in 0..5 {
        let mut world = settled(8, 3, seed);
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

// A fresh node boots in an outage and first meets a peer that is behind. It must not serve what
// that peer holds until others have said that there is nothing newer.
#[test]
fn boot_in_outage_from_peer_behind() {
    for seed in SEEDS {
        let mut world = settled(8, 3, seed);
        // Node 5 misses the last change, and the outage begins.
        world.down.insert(5);
        world.store.write(KEY, "newest");
        world.run_ms(3_000);
        world.store.is_down = true;
        world.down.remove(&5);
        world.restart(2, seed + 31);
        for _ in 0..500 {
            world.run_ms(20);
            let is_old = world.value(2).as_deref() != Some("newest");
            assert!(!(is_old && world.confirmation(2).allows_serving()), "seed {seed}");
        }
        assert_eq!(world.confirmation(2), Confirmation::Outage, "seed {seed}");
    }
}

// A fresh node boots in an outage and reaches only one peer, which is behind, while membership
// still shows it everybody. One agreeing peer must not be enough for it to vouch
// once the peer's own proof has run out.
#[test]
fn boot_in_outage_reaches_only_peer_behind() {
    for seed in SEEDS {
        let mut world = settled(8, 3, seed);
        world.down.insert(5);
        world.store.write(KEY, "newest");
        let overtaken_at = world.now;
        world.run_ms(3_000);
        world.store.is_down = true;
        world.down.remove(&5);
        world.restart(2, seed + 31);
        world.regroup([2, 5], 1);
        for _ in 0..500 {
            world.run_ms(20);
            let is_old = world.value(2).as_deref() != Some("newest");
            let is_late = world.now > overtaken_at + CUT_OFF_MS;
            assert!(!(is_old && is_late && world.confirmation(2).allows_serving()), "seed {seed}");
        }
    }
}

// The only two relays die and membership is slow to see it. A change accepted meanwhile must
// still be in force on the others in time: they read the Object API themselves.
#[test]
fn relays_dead_change_in_force() {
    for seed in SEEDS {
        let mut world = settled(6, 1, seed);
        world.down.extend([0, 1]);
        world.store.write(KEY, "meanwhile");
        world.run_ms(IN_FORCE_MS);
        for node in 2..6 {
            assert_eq!(world.value(node).as_deref(), Some("meanwhile"), "seed {seed}: {node}");
        }
    }
}

// Both relays of a data centre die at once. The other nodes there must not go out of service:
// membership names new relays, and until then they ask others and read for themselves.
#[test]
fn relays_dead_serves_on() {
    for seed in SEEDS {
        let mut world = settled(12, 3, seed);
        world.down.extend([0, 3]);
        for step in 0..400 {
            if step == 200 {
                world.surround();
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

// An object is deleted and a node that missed it compares with one that did not.
#[test]
fn deleted_object_stays_deleted() {
    let mut world = settled(8, 3, 4);
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

// An object is deleted during an outage that outlasts the store's history. Nobody saw the deletion
// in a watch; the listing that follows must show it.
#[test]
fn deletion_missed_by_watches() {
    let mut world = settled(8, 3, 5);
    world.store.write("placement/a", "replicas");
    world.run_ms(5_000);
    world.store.is_down = true;
    world.run_ms(3_000);
    world.store.delete("placement/a");
    world.store.kept_from = world.store.write("placement/b", "others");
    world.store.is_down = false;
    world.run_ms(15_000);
    for node in 0..8 {
        let held: Vec<_> = world.nodes[node].cache().with_prefix("placement/").collect();
        assert_eq!(held.len(), 1, "node {node}: {held:?}");
    }
}

// An operator changes the configuration. No node may stop serving for it, not for a moment: the
// callers of a node that waits for its next proof would be refused at every change.
#[test]
fn change_interrupts_nobody() {
    for seed in SEEDS {
        let mut world = settled(12, 3, seed);
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

// The Object API goes down. Evidence runs out on all nodes within seconds of each other, and each
// must by then know from enough others that none holds anything newer. None may stop serving.
#[test]
fn outage_begins_interrupts_nobody() {
    for count in [2, 4, 8, 40] {
        for seed in SEEDS {
            let mut world = settled(count, 3, seed);
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
