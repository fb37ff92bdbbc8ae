//! Members that crash, pause, are cut off and return.

mod common;

use celeryhaven_membership::MemberState;
use common::{Network, name};

const SEEDS: std::ops::Range<u64> = 0..40;

/// Time in which 12 nodes learn of each other.
const CONVERGENCE_MS: u64 = 10_000;

/// Time for a failed probe, the suspicion timeout and the gossip of the result.
const DETECTION_MS: u64 = 10_000;

fn converged(count: usize, seed: u64) -> Network {
    let mut network = Network::new(count, seed);
    network.run_ms(CONVERGENCE_MS);
    for node in &network.nodes {
        assert_eq!(node.live().count(), count, "seed {seed}: not converged");
    }
    network
}

fn ended(network: &Network, observer: usize, subject: usize) -> bool {
    let found = network.nodes[observer].find(&name(subject));
    found.is_some_and(|(_, state)| !state.is_live())
}

// A VM crashes and some members do not declare it dead, so callers are still sent to it.
#[test]
fn death_detected_by_all() {
    for seed in SEEDS {
        let mut network = converged(12, seed);
        network.down.insert(5);
        network.run_ms(DETECTION_MS);
        for observer in (0..12).filter(|index| *index != 5) {
            assert!(ended(&network, observer, 5), "seed {seed}: {observer} has not detected it");
        }
    }
}

// A member is declared dead although its pause was shorter than the suspicion timeout.
#[test]
fn short_pause_refuted() {
    for seed in SEEDS {
        let mut network = converged(12, seed);
        network.down.insert(4);
        network.run_ms(2_000);
        network.down.remove(&4);
        network.run_ms(DETECTION_MS);
        let dead = |(_, node, state): &(u64, _, _)| *node == name(4) && *state == MemberState::Dead;
        let declared_dead =
            network.changes.values().flatten().filter(|change| dead(change)).count();
        assert_eq!(declared_dead, 0, "seed {seed}");
    }
}

// A member that resumes after it was declared dead does not become a member again.
#[test]
fn long_pause_refuted() {
    for seed in SEEDS {
        let mut network = converged(12, seed);
        network.down.insert(4);
        network.run_ms(60_000);
        assert!(ended(&network, 0, 4));
        network.down.remove(&4);
        network.run_ms(DETECTION_MS);
        for observer in 0..12 {
            assert!(!ended(&network, observer, 4), "seed {seed}: {observer}");
        }
    }
}

// A member that was paused itself misses a refutation and, on resuming, declares a healthy member
// dead because the suspicion timeout has passed.
#[test]
fn resumed_member_declares_none_dead() {
    let mut reached = 0;
    for seed in SEEDS {
        let mut network = converged(4, seed);
        network.down.insert(2);
        network.run_ms(2_500);
        network.down.remove(&2);
        let suspected = network.nodes[1].find(&name(2)).map(|(_, state)| state);
        if suspected != Some(MemberState::Suspect) {
            continue;
        }
        reached += 1;
        network.down.insert(1);
        network.run_ms(20_000);
        network.down.remove(&1);
        network.run_ms(DETECTION_MS);
        let own = network.changes.remove(&1).unwrap_or_default();
        let wrong = own.iter().filter(|(_, _, state)| *state == MemberState::Dead).count();
        assert_eq!(wrong, 0, "seed {seed}: {own:?}");
    }
    assert!(reached >= 20, "only {reached} seeds reached the suspicion");
}

// A paused process resumes after its VM was replaced and serves next to its successor.
#[test]
fn replaced_process_superseded() {
    for seed in SEEDS {
        let mut network = converged(12, seed);
        network.down.insert(4);
        network.run_ms(20_000);
        let successor = network.add_successor(4, 2, seed);
        network.run_ms(DETECTION_MS);
        network.down.remove(&4);
        network.run_ms(DETECTION_MS);
        assert!(network.superseded.contains(&4), "seed {seed}: the old process is not superseded");
        assert!(!network.superseded.contains(&successor), "seed {seed}");
    }
}

// A node that is cut off still counts a majority of the members as answering, and goes on
// confirming its configuration.
#[test]
fn isolated_sees_minority() {
    for seed in SEEDS {
        let mut network = converged(8, seed);
        network.isolate(3);
        network.run_ms(15_000);
        let (answering, known) = network.nodes[3].answering_and_known();
        assert!(answering * 2 <= known, "seed {seed}: {answering} of {known}");
        let (answering, known) = network.nodes[2].answering_and_known();
        assert!(answering * 2 > known, "seed {seed}: {answering} of {known}");
    }
}

// A node that stops on request is detected only by probes, because it does not announce this.
#[test]
fn leave_announced_to_all() {
    let mut network = converged(12, 1);
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
