//! Streams of replicas that pause: when they get second attempts, and when that is needless.

use celeryhaven_policy::{PassProfile, StallDetector, quiet_seconds_max};
use celeryhaven_types::TimeMs;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const REPLICA: &str = "replica";

/// Streams of one node at one replica.
const STREAMS: usize = 30;

/// Passes in which a stream gives events.
const PASSES_PER_STREAM: usize = 13;

/// Time within which the events of one pass reach the node, in milliseconds.
const SPREAD_MS: u64 = 5;

/// The slower and the faster model of a fleet.
const SLOW: PassProfile = PassProfile { full_ms: 51.0, idle_ms: 36.0, prefill_ms: 40.0 };
const FAST: PassProfile = PassProfile { full_ms: 31.0, idle_ms: 22.0, prefill_ms: 24.0 };

/// A node with streams at one replica.
struct Node {
    detector: StallDetector<&'static str>,
    now: TimeMs,
    pause_max_ms: u64,
    rng: SmallRng,
}

impl Node {
    fn new(seed: u64, profile: PassProfile, pause_max_ms: u64) -> Self {
        let mut detector = StallDetector::new();
        detector.set_profile(&REPLICA, profile);
        (0..STREAMS).for_each(|_| {
            detector.stream_started(TimeMs::new(1_000), &REPLICA);
        });
        let rng = SmallRng::seed_from_u64(seed);
        Self { detector, now: TimeMs::new(1_000), pause_max_ms, rng }
    }

    /// Gives each stream an event; they arrive within `SPREAD_MS`.
    fn pass(&mut self) {
        for _ in 0..STREAMS {
            self.detector.event_received(self.now, &REPLICA);
            if self.rng.random_ratio(1, 4) && self.rng.random_ratio(SPREAD_MS as u32, 30) {
                self.now = self.now.after(1);
            }
        }
        self.detector.event_received(self.now, &REPLICA);
    }

    /// Lets time pass without an event; returns when the first second attempt is due, from the last
    /// event on, in milliseconds.
    fn wait(&mut self, silence_ms: u64) -> Option<u64> {
        let last = self.now;
        let mut due_ms = None;
        for _ in 0..silence_ms {
            self.now = self.now.after(1);
            self.detector.detect_quiet(self.now, |_| true);
            let due_at = self.detector.second_due_at(&REPLICA, self.pause_max_ms);
            if due_ms.is_none() && due_at.is_some_and(|at| at <= self.now) {
                due_ms = Some(self.now.since(last));
            }
        }
        due_ms
    }
}

/// Returns when the first second attempt is due after a replica has stopped, after so many passes.
fn due_after_loss(profile: PassProfile, pause_max_ms: u64, passes: usize) -> u64 {
    let mut node = Node::new(7, profile, pause_max_ms);
    for _ in 0..passes {
        node.pass();
        let gap_ms = profile.full_ms as u64 + node.rng.random_range(0..6);
        assert_eq!(node.wait(gap_ms), None, "a replica that goes on");
    }
    node.pass();
    node.wait(600).expect("a second attempt")
}

/// A stream of a lost replica must go on elsewhere before its caller has waited for its bound.
#[test]
fn detect_quiet_member_lost() {
    let cases = [(SLOW, 300, 150), (FAST, 200, 100)];
    for (profile, pause_max_ms, bar_ms) in cases {
        for passes in [0, 3, 12, 400] {
            let due_ms = due_after_loss(profile, pause_max_ms, passes);
            println!("pass {} ms, after {passes} passes: {due_ms} ms", profile.full_ms);
            assert!(due_ms <= bar_ms, "{due_ms} ms after {passes} passes of {profile:?}");
        }
    }
}

/// Returns the part of the streams with a needless second attempt, with passes of these lengths.
fn needless_part(seed: u64, passes: usize, gap_ms: impl Fn(&mut SmallRng) -> u64) -> f64 {
    let mut node = Node::new(seed, SLOW, 300);
    let mut needless = 0;
    for _ in 0..passes {
        let gap_ms = gap_ms(&mut node.rng);
        if node.wait(gap_ms).is_some() {
            needless += quiet_seconds_max(STREAMS);
            node.detector.record_vain(node.now, &REPLICA);
        }
        node.pass();
    }
    needless as f64 / (passes * STREAMS / PASSES_PER_STREAM) as f64
}

/// Prompts that are prefilled lengthen passes; a second attempt for each long one would cost slots when
/// they are scarce.
#[test]
fn detect_quiet_long_prompts() {
    let with_rare = |rng: &mut SmallRng, usual: u64| match rng.random_ratio(1, 100) {
        true => 200,
        false => usual,
    };
    for seed in 0..10 {
        let even = needless_part(seed, 2_000, |rng| {
            let usual = rng.random_range(51..=140);
            with_rare(rng, usual)
        });
        let mixed = needless_part(seed, 2_000, |rng| {
            let usual = if rng.random_ratio(1, 4) { 140 } else { 51 };
            with_rare(rng, usual)
        });
        println!("seed {seed}: {even:.4} and {mixed:.4} of the streams");
        assert!(even < 0.01 && mixed < 0.01, "seed {seed}: {even} and {mixed}");
    }
}

/// When a whole fleet is slow, second attempts in vain must not go on at the same rate.
#[test]
fn record_vain_lengthens_threshold() {
    let due_ms = |vain: u32| {
        let mut node = Node::new(3, SLOW, 200);
        for _ in 0..40 {
            node.pass();
            node.wait(51);
        }
        for _ in 0..vain {
            node.wait(51);
            node.detector.record_vain(node.now, &REPLICA);
            node.detector.record_vain(node.now, &REPLICA);
            // Several of one pass count once.
            for _ in 0..6 {
                node.pass();
                node.wait(51);
            }
        }
        node.pass();
        node.wait(600).expect("a second attempt")
    };
    let due_ms = [due_ms(0), due_ms(1), due_ms(2), due_ms(9)];
    println!("{due_ms:?}");
    assert!(due_ms.is_sorted() && due_ms[0] < due_ms[1] && due_ms[1] < due_ms[2], "{due_ms:?}");
    assert!(due_ms[3] <= 250, "{due_ms:?}");
}

/// What a peer has found must shorten the wait here, and an event must end that.
#[test]
fn record_told_halves_threshold() {
    let mut node = Node::new(3, SLOW, 300);
    for _ in 0..40 {
        node.pass();
        node.wait(51);
    }
    node.pass();
    let at = |node: &Node| node.detector.next_quiet_at(node.now).map(|at| at.since(node.now));
    let alone_ms = at(&node).unwrap_or_default();
    node.detector.record_told(node.now, &REPLICA);
    let told_ms = at(&node).unwrap_or_default();
    assert_eq!(told_ms, alone_ms.div_ceil(2));
    node.pass();
    assert_eq!(at(&node), Some(alone_ms));
}

/// Streams that go on elsewhere in time must not hide that their replica has stalled.
#[test]
fn detect_stalled_streams_moved() {
    let mut node = Node::new(3, SLOW, 300);
    node.wait(200);
    (0..STREAMS).for_each(|_| node.detector.stream_finished(&REPLICA));
    assert!(node.detector.is_quiet(&REPLICA));
    assert!(node.detector.detect_stalled(node.now, |_| true).is_empty());
    node.wait(400);
    assert_eq!(node.detector.detect_stalled(node.now, |_| true), [REPLICA]);
    assert!(node.detector.is_suspected(node.now, &REPLICA));
    assert!(!node.detector.is_suspected(node.now.after(600), &REPLICA));
    assert!(node.detector.detect_stalled(node.now.after(600), |_| true).is_empty());
}

/// A replica without a profile, such as a plain target, must not be found quiet.
#[test]
fn detect_quiet_without_profile() {
    let mut detector = StallDetector::new();
    detector.stream_started(TimeMs::new(0), &REPLICA);
    assert!(detector.detect_quiet(TimeMs::new(500), |_| true).is_empty());
    assert_eq!(detector.next_quiet_at(TimeMs::new(500)), None);
    assert!(detector.detect_stalled(TimeMs::new(599), |_| true).is_empty());
}

/// A replica that goes on must be used again with its next event.
#[test]
fn event_received_ends_quiet() {
    let mut node = Node::new(3, SLOW, 300);
    assert!(!node.detector.event_received(node.now, &REPLICA));
    node.wait(200);
    assert_eq!(node.detector.found_quiet(), [REPLICA]);
    assert!(node.detector.event_received(node.now, &REPLICA));
    assert!(node.detector.found_quiet().is_empty());
    assert!(!node.detector.event_received(node.now, &REPLICA));
}
