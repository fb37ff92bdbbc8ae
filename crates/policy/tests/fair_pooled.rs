//! Many nodes share replicas of which each receives reports rarely; overload ends with its cause.

mod cluster;

use cluster::{Cluster, Outcomes};

/// Half of the replicas are lost and return. Reports from before the loss must not keep nodes from
/// using replicas that have capacity again.
#[test]
fn pooled_loss_recovers_when_replicas_return() {
    for seed in 0..4 {
        let mut cluster = Cluster::new(seed, 60, 20);
        cluster.run(3_000);
        let before = cluster.run(3_000);
        assert!(before.in_time() > 0.9, "seed {seed}: {before:?} before the loss");
        let lost = (0..10).collect::<Vec<_>>();
        cluster.fail_replicas(&lost);
        cluster.run(4_000);
        cluster.restore_replicas(&lost);
        cluster.run(5_000);
        let after = cluster.run(4_000);
        assert!(after.in_time() > 0.9, "seed {seed}: {after:?} after the loss");
    }
}

/// Under an overload of 1.5, requests must wait at the nodes. If they waited at the replicas, all
/// answers would be late.
#[test]
fn pooled_overload_keeps_goodput() {
    for seed in 0..4 {
        let mut cluster = Cluster::new(seed, 60, 20);
        cluster.run(3_000);
        cluster.set_rate(1.5);
        cluster.run(3_000);
        let Outcomes { submitted, in_time, late, refused } = cluster.run(5_000);
        let capacity = f64::from(submitted) / 1.5;
        assert!(
            f64::from(in_time) > capacity * 0.6,
            "seed {seed}: {in_time} in time, {late} late, {refused} refused of {submitted}"
        );
        assert_eq!(cluster.refused_late, 0, "seed {seed}");
    }
}

/// A node whose last reports show all replicas as full and that has no request in flight receives
/// no further report. It must send a request and recover, instead of refusing until the process
/// ends.
#[test]
fn pooled_node_with_all_full_reports_recovers() {
    let mut cluster = Cluster::new(1, 60, 4);
    cluster.set_rate(0.6);
    cluster.run(6_000);
    cluster.set_rate(0.0);
    cluster.run(6_000);
    cluster.set_rate(0.1);
    cluster.run(2_000);
    let after = cluster.run(4_000);
    assert!(after.in_time() > 0.9, "{after:?}");
}

/// Under overload, outdated reports of many replicas must not lead a node to full replicas while
/// others have free slots.
#[test]
fn pooled_subset_overload_keeps_answers_in_time() {
    for seed in 0..3 {
        let mut cluster = Cluster::with_subsets(seed, 80, 40);
        cluster.set_rate(2.0);
        cluster.run(4_000);
        cluster.set_rate(3.4);
        cluster.run(3_000);
        let Outcomes { submitted, in_time, late, refused } = cluster.run(5_000);
        let capacity = f64::from(submitted) / 1.1;
        assert!(
            f64::from(in_time) > capacity * 0.67,
            "seed {seed}: {in_time} in time, {late} late, {refused} refused of {submitted}"
        );
        assert_eq!(cluster.refused_late, 0, "seed {seed}");
    }
}

/// Nodes whose replicas are lost must switch to others.
#[test]
fn pooled_subset_loss() {
    for seed in 0..3 {
        let mut cluster = Cluster::with_subsets(seed, 80, 40);
        cluster.set_rate(1.6);
        cluster.run(6_000);
        cluster.fail_replicas(&(0..10).collect::<Vec<_>>());
        cluster.run(2_000);
        let after = cluster.run(4_000);
        assert!(after.in_time() > 0.9, "seed {seed}: {after:?}");
    }
}

/// Under overload, requests that waited too long to begin in time must not be sent before others.
#[test]
fn pooled_overload_sends_requests_in_time() {
    for seed in 0..3 {
        let mut cluster = Cluster::with_subsets(seed, 80, 40);
        cluster.set_rate(2.0);
        cluster.run(4_000);
        cluster.set_rate(4.4);
        cluster.run(3_000);
        let Outcomes { submitted, in_time, late, refused } = cluster.run(9_000);
        let capacity = f64::from(submitted) / 1.43;
        assert!(
            f64::from(in_time) > capacity * 0.7,
            "seed {seed}: {in_time} in time, {late} late, {refused} refused of {submitted}"
        );
    }
}
