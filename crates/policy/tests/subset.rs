//! Which targets each of many nodes sends to.

use celeryhaven_policy::TargetSubset;

/// Returns how many nodes send to each target.
fn senders(nodes: usize, targets: usize) -> Vec<usize> {
    let names: Vec<String> = (0..targets).map(|number| format!("target-{number}")).collect();
    let mut senders = vec![0; targets];
    for node in 0..nodes {
        let subset = TargetSubset::new(node, nodes);
        for chosen in subset.choose(&names, String::as_str) {
            let index = names.iter().position(|name| name == chosen);
            senders[index.unwrap_or_default()] += 1;
        }
    }
    senders
}

/// A target that few nodes have chosen must not stand idle while the others are busy.
#[test]
fn choose_even_over_nodes() {
    for (nodes, targets) in [(5, 6), (6, 6), (8, 7), (13, 20), (80, 40), (300, 900)] {
        let senders = senders(nodes, targets);
        let mean = nodes as f64 * 5.0 / targets as f64;
        let is_even = |count: &usize| (*count as f64 - mean).abs() <= 1.0;
        assert!(senders.iter().all(is_even), "{nodes} nodes, a mean of {mean}: {senders:?}");
    }
}
