//! Processing cost of a membership event by fleet size.

use std::time::{Duration, Instant};

use celeryhaven_peers::{NodeRecord, Peers, ProbeResult};
use celeryhaven_types::{DataCentreName, DomainName, NodeName, TimeMs};

/// Number of runs; the fastest one is used to exclude load from other processes.
const RUNS: u32 = 30;

fn record(number: usize) -> NodeRecord {
    let address = std::net::SocketAddr::from(([10, 0, 0, 1], 80));
    NodeRecord {
        node: NodeName::new(format!("entry-{number}")),
        data_centre: DataCentreName::new("a"),
        caller_address: address,
        ready_address: address,
        peer_address: address,
        token: String::new(),
        boot: 1,
        heartbeat: 1,
        ready: true,
        millicores: 0,
    }
}

/// Applies two unanswered probes and then an answered one; returns the coordinated domains after
/// each step.
fn apply_events(peers: &mut Peers, node: &NodeName, domains: &[DomainName]) -> usize {
    let coordinated =
        |peers: &Peers| domains.iter().filter(|d| peers.is_coordinator(d, false)).count();
    peers.record_probe(TimeMs::new(2), node, ProbeResult::Unanswered);
    peers.record_probe(TimeMs::new(2), node, ProbeResult::Unanswered);
    let before = coordinated(peers);
    peers.record_probe(TimeMs::new(3), node, ProbeResult::Ready);
    before + coordinated(peers)
}

fn fastest(nodes: usize, domains: &[DomainName]) -> Duration {
    let mut peers = Peers::new(NodeName::new("entry-0"));
    peers.set_domains(domains);
    peers.apply_records(TimeMs::new(1), (0..nodes).map(record).collect());
    let node = NodeName::new("entry-1");
    let run = |_| {
        let started = Instant::now();
        let coordinated_total: usize =
            (0..20).map(|_| apply_events(&mut peers, &node, domains)).sum();
        assert!(coordinated_total <= 20 * 2 * domains.len());
        started.elapsed()
    };
    (0..RUNS).map(run).min().unwrap_or_default()
}

/// The cost of a probe result must not grow linearly with the fleet, as it does if each of them
/// ranks all nodes for all domains again.
#[test]
fn is_coordinator_cost_by_nodes() {
    let domains: Vec<_> = (0..40).map(|n| DomainName::new(format!("rack-{n}"))).collect();
    let costs = [10, 100, 300, 1_000].map(|nodes| (nodes, fastest(nodes, &domains)));
    println!("nodes and time of twenty events: {costs:?}");
    let (at_100, at_1_000) = (costs[1].1, costs[3].1);
    assert!(at_1_000 < at_100 * 5, "{costs:?}");
}
