//! Members die, pause, are cut off and come back.

mod common;

use celeryhaven_membership::MemberState;
use common::{Network, name};

const SEEDS: std::ops::Range<u64> = 0..40;

/// Long enough for 12 nodes to know each other.
const SETTLE_MS: u64 = 10_000;

/// Found by a probe within one period of some node, suspected after it, dead after the suspicion,
/// passed on in a few rounds.
const FOUND_MS: u64 = 10_000;

fn settled(count: usize, seed: u64) -> Network {
    let mut network = Network::new(count, seed);
    network.run_ms(SETTLE_MS);
    for node in &network.nodes {
        assert_eq!(node.live().count(), count, "seed {seed}: not settled");
    }
    network
}

fn ended(network: &Network, observer: usize, subject: usize) -> bool {
    let found = network.nodes[observer].find(&name(subject));
    found.is_some_and(|(_, state)| !state.is_live())
}

// A VM dies without a word. Callers would go on being told to use it, and replicas that it
// observes would grow old. Every other node must believe it dead within a bound.
#[test]
fn death_found_by_all() {
    for seed in SEEDS {
        let mut network = settled(12, seed);
        network.down.insert(5);
        network.run_ms(FOUND_MS);
        for observer in (0..12).filter(|index| *index != 5) {
            assert!(ended(&network, observer, 5), "seed {seed}: {observer} has not found it");
        }
    }
}

// A VM is paused for two seconds, shorter than a suspicion. Suspected by some, it answers the
// first probe after the pause with a refutation. Nobody may ever have believed it dead.
#[test]
fn short_pause_refuted() {
    for seed in SEEDS {
        let mut network = settled(12, seed);
        network.down.insert(4);
        network.run_ms(2_000);
        network.down.remove(&4);
        network.run_ms(FOUND_MS);
        let dead = |(_, node, state): &(u64, _, _)| *node == name(4) && *state == MemberState::Dead;
        let believed = network.changes.values().flatten().filter(|change| dead(change)).count();
        assert_eq!(believed, 0, "seed {seed}");
    }
}

// A VM is paused for a minute and wakes as if nothing had happened. By then all believe it dead.
// Its first probes are answered with that belief; it refutes and is a member again everywhere.
#[test]
fn long_pause_comes_back() {
    for seed in SEEDS {
        let mut network = settled(12, seed);
        network.down.insert(4);
        network.run_ms(60_000);
        assert!(ended(&network, 0, 4));
        network.down.remove(&4);
        network.run_ms(FOUND_MS);
        for observer in 0..12 {
            assert!(!ended(&network, observer, 4), "seed {seed}: {observer}");
        }
    }
}

// One VM suspects another that was paused for a moment, and is then paused itself. The other
// refutes meanwhile. On waking, the first finds that the suspicion has run out; without a guard it
// would declare a healthy member dead.
#[test]
fn waking_declares_nobody_dead() {
    let mut tried = 0;
    for seed in SEEDS {
        let mut network = settled(4, seed);
        network.down.insert(2);
        network.run_ms(2_500);
        network.down.remove(&2);
        let suspected = network.nodes[1].find(&name(2)).map(|(_, state)| state);
        if suspected != Some(MemberState::Suspect) {
            continue;
        }
        tried += 1;
        network.down.insert(1);
        network.run_ms(20_000);
        network.down.remove(&1);
        network.run_ms(FOUND_MS);
        let own = network.changes.remove(&1).unwrap_or_default();
        let wrong = own.iter().filter(|(_, _, state)| *state == MemberState::Dead).count();
        assert_eq!(wrong, 0, "seed {seed}: {own:?}");
    }
    assert!(tried >= 20, "only {tried} seeds reached the story");
}

// A VM is replaced by one of the same name while the old process is only paused. The old process
// wakes and would serve beside its successor. It must learn that it has been superseded.
#[test]
fn twin_superseded() {
    for seed in SEEDS {
        let mut network = settled(12, seed);
        network.down.insert(4);
        network.run_ms(20_000);
        let successor = network.add_twin(4, 2, seed);
        network.run_ms(FOUND_MS);
        network.down.remove(&4);
        network.run_ms(FOUND_MS);
        assert!(network.superseded.contains(&4), "seed {seed}: the old process serves on");
        assert!(!network.superseded.contains(&successor), "seed {seed}");
    }
}

// A node loses its links, not its life. It must see within a bound that it sees no more than half
// of the members it knows, so that it can stop vouching for its configuration.
#[test]
fn isolated_sees_minority() {
    for seed in SEEDS {
        let mut network = settled(8, seed);
        network.isolate(3);
        network.run_ms(15_000);
        let (answering, known) = network.nodes[3].answering_and_known();
        assert!(answering * 2 <= known, "seed {seed}: {answering} of {known}");
        let (answering, known) = network.nodes[2].answering_and_known();
        assert!(answering * 2 > known, "seed {seed}: {answering} of {known}");
    }
}

// A node is told to stop. It says so itself, so nobody has to find out by probing.
#[test]
fn leave_told_to_all() {
    let mut network = settled(12, 1);
    let mut out = Vec::new();
    let now = celeryhaven_types::TimeMs::new(network.now);
    network.nodes[6].announce_leaving(now);
    network.run_ms(5_000);
    for node in &network.nodes {
        let (member, _) = node.find(&name(6)).expect("a member");
        assert_eq!(member.phase, celeryhaven_membership::MemberPhase::Leaving);
    }
    let now = celeryhaven_types::TimeMs::new(network.now);
    network.nodes[6].leave(now, &mut out);
    assert!(!out.is_empty());
}
