//! Many nodes before replicas that each hears of seldom: overload comes, and goes with its cause.

mod crowd;

use crowd::{Crowd, Span};

/// Half of the replicas are lost for four seconds and come back. Every node remembers replicas as full
/// as they were when it last had an answer from there: those stay without requests, the others get
/// them all, and answers went on being late for as long as anybody asked. Five seconds after the
/// replicas are back nine answers of ten are in time again.
#[test]
fn pooled_loss_is_over_when_replicas_are_back() {
    for seed in 0..4 {
        let mut crowd = Crowd::new(seed, 60, 20);
        crowd.run(3_000);
        let before = crowd.run(3_000);
        assert!(before.in_time() > 0.9, "seed {seed}: {before:?} before the loss");
        let lost = (0..10).collect::<Vec<_>>();
        crowd.lose(&lost);
        crowd.run(4_000);
        crowd.come_back(&lost);
        crowd.run(5_000);
        let after = crowd.run(4_000);
        assert!(after.in_time() > 0.9, "seed {seed}: {after:?} after the loss");
    }
}

/// Callers ask for a half more than all replicas can do, for eight seconds. Let in by every node, the
/// excess waits at the replicas and makes everyone late. Held at the nodes, most of what the replicas
/// can do is in time, and the rest is refused within its objective.
#[test]
fn pooled_overload_serves_what_it_can() {
    for seed in 0..4 {
        let mut crowd = Crowd::new(seed, 60, 20);
        crowd.run(3_000);
        crowd.set_rate(1.5);
        crowd.run(3_000);
        let Span { asked, in_time, late, refused } = crowd.run(5_000);
        let possible = f64::from(asked) / 1.5;
        assert!(
            f64::from(in_time) > possible * 0.6,
            "seed {seed}: {in_time} in time, {late} late, {refused} refused of {asked}"
        );
        assert_eq!(crowd.refused_late, 0, "seed {seed}");
    }
}

/// A node without a request at any replica has heard that all are full. Were it to wait until one shows
/// room, it would refuse for ever, since loads are told with answers: it asks with one request, and
/// serves again once they are free.
#[test]
fn pooled_node_that_heard_all_are_full_asks_again() {
    let mut crowd = Crowd::new(1, 60, 4);
    crowd.set_rate(0.6);
    crowd.run(6_000);
    crowd.set_rate(0.0);
    crowd.run(6_000);
    crowd.set_rate(0.1);
    crowd.run(2_000);
    let after = crowd.run(4_000);
    assert!(after.in_time() > 0.9, "{after:?}");
}

/// Guards against late answers under overload: each of many replicas is heard of so seldom by a node
/// that it sends to full ones while others have room.
#[test]
fn pooled_subset_overload_in_time() {
    for seed in 0..3 {
        let mut crowd = Crowd::with_subsets(seed, 80, 40);
        crowd.set_rate(2.0);
        crowd.run(4_000);
        crowd.set_rate(3.4);
        crowd.run(3_000);
        let Span { asked, in_time, late, refused } = crowd.run(5_000);
        let possible = f64::from(asked) / 1.1;
        assert!(
            f64::from(in_time) > possible * 0.67,
            "seed {seed}: {in_time} in time, {late} late, {refused} refused of {asked}"
        );
        assert_eq!(crowd.refused_late, 0, "seed {seed}");
    }
}

/// Guards against nodes left without replicas: a quarter of all is lost at once.
#[test]
fn pooled_subset_loss() {
    for seed in 0..3 {
        let mut crowd = Crowd::with_subsets(seed, 80, 40);
        crowd.set_rate(1.6);
        crowd.run(6_000);
        crowd.lose(&(0..10).collect::<Vec<_>>());
        crowd.run(2_000);
        let after = crowd.run(4_000);
        assert!(after.in_time() > 0.9, "seed {seed}: {after:?}");
    }
}

/// Guards against requests that are sent when they have waited too long to begin in time, before
/// others that have not.
#[test]
fn pooled_overload_sends_what_begins_in_time() {
    for seed in 0..3 {
        let mut crowd = Crowd::with_subsets(seed, 80, 40);
        crowd.set_rate(2.0);
        crowd.run(4_000);
        crowd.set_rate(4.4);
        crowd.run(3_000);
        let Span { asked, in_time, late, refused } = crowd.run(9_000);
        let possible = f64::from(asked) / 1.43;
        assert!(
            f64::from(in_time) > possible * 0.7,
            "seed {seed}: {in_time} in time, {late} late, {refused} refused of {asked}"
        );
    }
}
