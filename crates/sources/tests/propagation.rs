//! How late each node of a simulated fleet knows a change while sources are silent, turned away or
//! suspended. Time is virtual.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod fleet;

use celeryhaven_sources::budget::KNOWN_MS_MAX;
use fleet::{Faults, Fleet};

const FLEET_SIZES: [usize; 10] = [2, 3, 4, 5, 8, 30, 60, 100, 300, 1_000];

fn plays(nodes: usize) -> u64 {
    (2_000 / nodes as u64).clamp(2, 60)
}

/// Plays changes under drawn faults, and fails if a node that could know a change in time did not.
fn assert_known(draw: impl Fn(u64) -> Faults) {
    for nodes in FLEET_SIZES {
        let mut most_ms = 0;
        for seed in 0..plays(nodes) {
            let mut fleet = Fleet::new(nodes, seed);
            let lags = fleet.lags_ms(draw(seed));
            let late: Vec<_> = lags.iter().filter(|(_, ms)| *ms > KNOWN_MS_MAX).collect();
            assert!(late.is_empty(), "{nodes} nodes, seed {seed}: {} late: {late:?}", late.len());
            most_ms = most_ms.max(lags.iter().map(|(_, ms)| *ms).max().unwrap_or_default());
        }
        println!("{nodes} nodes: {most_ms} ms at most");
    }
}

#[test]
fn lag_without_faults() {
    assert_known(|_| Faults::default());
}

/// Nodes that the store alone turns away must learn from the others, the roots too.
#[test]
fn lag_roots_turned_away() {
    assert_known(|seed| Faults {
        roots_turned_away: true,
        is_silent: seed % 2 == 0,
        ..Faults::default()
    });
}

/// Relays that are suspended must not hold up their followers, one after the other.
#[test]
fn lag_roots_suspended() {
    assert_known(|_| Faults { roots_suspended: true, ..Faults::default() });
}

/// Where the store turns a third of the nodes away, which others they ask must not matter.
#[test]
fn lag_some_turned_away() {
    assert_known(|seed| Faults {
        turned_away: 0.35,
        is_silent: seed % 2 == 0,
        ..Faults::default()
    });
}

/// Faults of several kinds at once must not add up.
#[test]
fn lag_some_turned_away_some_suspended() {
    assert_known(|seed| Faults {
        turned_away: 0.35,
        suspended: 0.2,
        is_silent: seed % 2 == 0,
        ..Faults::default()
    });
}
