//! First tries and returns while more is asked for than engines can answer.

mod cluster;

use celeryhaven_policy::{UsualLimit, return_after_ms};
use cluster::{Callers, Cluster, Outcomes, UTILISATION};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Answers in time as a fraction of those at capacity that a surge must keep.
const IN_TIME_MIN: f64 = 0.9;

/// Outcomes at capacity, under a surge, and from 2 s after its end.
struct Surge {
    at_capacity: Outcomes,
    surge: Outcomes,
    after: Outcomes,
}

fn surge(
    seed: u64,
    nodes: usize,
    (times, callers): (f64, Callers),
    overload_control: bool,
) -> Surge {
    let mut cluster = Cluster::with_callers(seed, nodes, 20, (callers, overload_control));
    cluster.run(4_000);
    cluster.set_rate(1.0 / UTILISATION);
    cluster.run(2_000);
    let at_capacity = cluster.run(8_000);
    cluster.set_rate(1.0);
    cluster.run(8_000);
    cluster.set_rate(times / UTILISATION);
    let surge = cluster.run(8_000);
    cluster.set_rate(1.0);
    cluster.run(2_000);
    let after = cluster.run(2_000);
    Surge { at_capacity, surge, after }
}

fn check(nodes: usize, callers: Callers) {
    let mut missed = Vec::new();
    for seed in 0..3 {
        for times in [1.0, 1.6, 3.0] {
            let Surge { at_capacity, surge, after } = surge(seed, nodes, (times, callers), true);
            let kept = f64::from(surge.in_time) / f64::from(at_capacity.in_time);
            println!(
                "seed {seed}, {nodes} nodes, {callers:?}, {times}: kept {kept:.3}, after {:.3}; \
                 {at_capacity:?} {surge:?}",
                after.in_time(),
            );
            if kept < IN_TIME_MIN || after.in_time() < IN_TIME_MIN {
                missed.push((seed, times, kept, after.in_time()));
            }
        }
    }
    assert!(missed.is_empty(), "seed, surge, kept, after: {missed:?}");
}

/// Refused callers that return took the answers of first tries that could still be in time.
#[test]
fn surge_one_node_obedient_callers() {
    check(1, Callers::Obedient);
}

/// Callers that ignore the time to return must not displace first tries either.
#[test]
fn surge_one_node_hasty_callers() {
    check(1, Callers::Hasty);
}

/// Each of many nodes sees a thirtieth of the load, and their even shares must not overfill engines.
#[test]
fn surge_many_nodes_obedient_callers() {
    check(30, Callers::Obedient);
}

#[test]
fn surge_many_nodes_hasty_callers() {
    check(30, Callers::Hasty);
}

/// A window that follows reports shrinks a second into a surge, when first tries already wait at engines.
#[test]
fn window_shrinks_and_recovers() {
    for seed in 0..3 {
        let mut cluster = Cluster::with_callers(seed, 30, 20, (Callers::Obedient, true));
        cluster.run(6_000);
        let before = cluster.windows();
        cluster.set_rate(3.0 / UTILISATION);
        cluster.run(500);
        let half_second = cluster.windows();
        cluster.run(500);
        let second = cluster.windows();
        cluster.run(3_000);
        cluster.set_rate(1.0);
        cluster.run(2_000);
        let after = cluster.windows();
        println!("seed {seed}: {before:.2} {half_second:.2} {second:.2} {after:.2}");
        assert!(half_second < before * 0.75, "seed {seed}: {before} to {half_second}");
        assert!(second < 1.2, "seed {seed}: {second}");
        assert!(after > 1.1, "seed {seed}: {after}");
    }
}

/// At about one request a second, a node's window must neither starve nor grow without bound.
#[test]
fn window_rare_requests() {
    let mut cluster = Cluster::with_callers(1, 200, 20, (Callers::Obedient, true));
    let outcomes = cluster.run(60_000);
    assert!(outcomes.in_time() > 0.9, "{outcomes:?}");
    assert!((0.5..=4.0).contains(&cluster.windows()), "{}", cluster.windows());
}

/// A return time that is too early is not recognised as a return, and callers don't obey a later one.
#[test]
fn return_after_quarter_to_third() {
    let mut rng = SmallRng::seed_from_u64(7);
    for left_ms in [3, 100, 5_000, 8_000] {
        let times: Vec<u64> = (0..200).map(|_| return_after_ms(left_ms, &mut rng)).collect();
        assert!(
            times.iter().all(|ms| ms * 4 >= left_ms && *ms <= (left_ms / 3).max(1)),
            "{left_ms}"
        );
        let spread = times.iter().max().unwrap() - times.iter().min().unwrap();
        assert!(spread * 15 >= left_ms || left_ms < 100, "{left_ms}: {spread}");
    }
}

/// Callers keep their limits when the configured one is raised or lowered; first tries must not be
/// taken for returns then.
#[test]
fn usual_limit_configuration_changes() {
    let mut limit = UsualLimit::default();
    let budgets = || (0..200).map(|n| 5_000 * (85 + n % 16) / 100);
    budgets().for_each(|budget_ms| assert!(!limit.is_return(Some(budget_ms), 5_000)));
    for configured_ms in [10_000, 3_000] {
        for budget_ms in budgets() {
            assert!(!limit.is_return(Some(budget_ms), configured_ms), "{budget_ms}");
            assert!(limit.is_return(Some(budget_ms * 2 / 3), configured_ms), "{budget_ms}");
        }
    }
}

/// Returns are most of the requests of a surge; they must not become the usual ones.
#[test]
fn usual_limit_most_are_returns() {
    let mut limit = UsualLimit::default();
    for n in 0..1_000_u64 {
        let is_first = n % 5 == 0;
        let budget_ms = if is_first { 4_250 + n % 750 } else { 2_000 + n % 1_700 };
        assert_eq!(limit.is_return(Some(budget_ms), 5_000), !is_first, "{budget_ms}");
    }
}

/// Absurd or absent budgets count as first tries and must not raise the limit of the others.
#[test]
fn usual_limit_absurd_budgets() {
    let mut limit = UsualLimit::default();
    for n in 0..500_u64 {
        let budget_ms = if n % 16 == 0 { u64::MAX } else { 4_300 + n % 700 };
        assert!(!limit.is_return(Some(budget_ms), 5_000), "{budget_ms}");
        assert!(!limit.is_return(None, 5_000));
    }
    assert!(limit.usual_ms(5_000) <= 5_000);
}
