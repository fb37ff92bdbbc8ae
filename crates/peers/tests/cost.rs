//! What an event costs a node, by the number of nodes.

use std::time::{Duration, Instant};

use celeryhaven_peers::{NodeRecord, Peers, ProbeResult};
use celeryhaven_types::{DataCentreName, DomainName, NodeName, TimeMs};

/// Runs of which the fastest counts, so that what else the machine does is left out.
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

/// One probe that falls silent, one that is back, and who decides for forty domains after each.
fn event(peers: &mut Peers, node: &NodeName, domains: &[DomainName]) -> usize {
    let decides = |peers: &Peers| domains.iter().filter(|d| peers.is_coordinator(d, false)).count();
    peers.record_probe(TimeMs::new(2), node, ProbeResult::Unanswered);
    peers.record_probe(TimeMs::new(2), node, ProbeResult::Unanswered);
    let before = decides(peers);
    peers.record_probe(TimeMs::new(3), node, ProbeResult::Ready);
    before + decides(peers)
}

fn fastest(nodes: usize, domains: &[DomainName]) -> Duration {
    let mut peers = Peers::new(NodeName::new("entry-0"));
    peers.set_domains(domains);
    peers.apply_records(TimeMs::new(1), (0..nodes).map(record).collect());
    let node = NodeName::new("entry-1");
    let run = |_| {
        let begun = Instant::now();
        let decided: usize = (0..20).map(|_| event(&mut peers, &node, domains)).sum();
        assert!(decided <= 20 * 2 * domains.len());
        begun.elapsed()
    };
    (0..RUNS).map(run).min().unwrap_or_default()
}

/// The smallest VMs have a tenth of a core. Where each probe ranked all nodes for all domains anew,
/// control took most of it at two hundred nodes, and requests were late although replicas were free.
/// Ten times the nodes may cost a few times as much, and not ten times.
#[test]
fn is_decider_cost_by_nodes() {
    let domains: Vec<_> = (0..40).map(|n| DomainName::new(format!("rack-{n}"))).collect();
    let costs = [10, 100, 300, 1_000].map(|nodes| (nodes, fastest(nodes, &domains)));
    println!("nodes and time of twenty events: {costs:?}");
    let (at_100, at_1_000) = (costs[1].1, costs[3].1);
    assert!(at_1_000 < at_100 * 5, "{costs:?}");
}
