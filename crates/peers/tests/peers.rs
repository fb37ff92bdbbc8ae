//! Selection of coordinators, relays and advertised nodes as nodes join, leave and become
//! unreachable.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_peers::{NodeRecord, Peers, ProbeResult, Ranking};
use celeryhaven_types::{DataCentreName, DomainName, NodeName, TimeMs};
use quickcheck::{Arbitrary, Gen};

const NOW: TimeMs = TimeMs::new(1_000);

fn node(number: usize) -> NodeName {
    NodeName::new(format!("entry-{number}"))
}

fn record(number: usize, heartbeat: u64) -> NodeRecord {
    NodeRecord {
        node: node(number),
        data_centre: DataCentreName::new("a"),
        caller_address: format!("10.0.0.{}:80", number % 250).parse().unwrap(),
        ready_address: "10.0.0.1:81".parse().unwrap(),
        peer_address: "10.0.0.1:82".parse().unwrap(),
        token: String::new(),
        boot: 1,
        heartbeat,
        ready: true,
        millicores: 0,
    }
}

fn domains(count: usize) -> Vec<DomainName> {
    (0..count).map(|number| DomainName::new(format!("rack-{number}"))).collect()
}

/// Returns the view of each node in a fleet where all nodes are live and answer probes.
fn fleet(nodes: usize, domains: &[DomainName]) -> Vec<Peers> {
    let records: Vec<_> = (0..nodes).map(|number| record(number, 1)).collect();
    let peers_of = |number| {
        let mut peers = Peers::new(node(number));
        peers.set_domains(domains);
        peers.apply_records(NOW, records.clone());
        records.iter().for_each(|other| {
            peers.record_probe(NOW, &other.node, ProbeResult::Ready);
        });
        peers
    };
    (0..nodes).map(peers_of).collect()
}

/// A domain with two coordinators would have the same targets planned twice; one without a
/// coordinator would never be repaired.
#[test]
fn is_coordinator_exactly_one() {
    let domains = domains(40);
    for nodes in [1, 2, 9, 60] {
        let fleet = fleet(nodes, &domains);
        for domain in &domains {
            let coordinating =
                fleet.iter().filter(|peers| peers.is_coordinator(domain, false)).count();
            assert_eq!(coordinating, 1, "{nodes} nodes, {domain}");
            let coordinators: BTreeSet<_> =
                fleet.iter().map(|peers| peers.coordinator_of(domain, false)).collect();
            assert_eq!(coordinators.len(), 1, "{nodes} nodes, {domain}");
        }
    }
}

/// A coordinator whose calls the store rejects cannot write plans, so the next candidate must take
/// the domain until the first one has store access again.
#[test]
fn is_coordinator_store_rejects() {
    let domains = domains(1);
    let domain = &domains[0];
    let mut fleet = fleet(9, &domains);
    let first = fleet[0].coordinator_of(domain, false).unwrap().clone();
    for peers in &mut fleet {
        peers.record_probe(NOW, &first, ProbeResult::CutOff);
    }
    let is_first = |number: usize| node(number) == first;
    let coordinating = |fleet: &[Peers]| {
        let coordinates = |&number: &usize| fleet[number].is_coordinator(domain, is_first(number));
        (0..9).filter(coordinates).collect::<Vec<_>>()
    };
    assert_eq!(coordinating(&fleet).len(), 1);
    assert!(!is_first(coordinating(&fleet)[0]));
    let reported = fleet
        .iter()
        .enumerate()
        .map(|(number, peers)| peers.coordinator_of(domain, is_first(number)).unwrap().clone());
    assert_eq!(reported.collect::<BTreeSet<_>>(), BTreeSet::from([node(coordinating(&fleet)[0])]));
    for peers in &mut fleet {
        peers.record_probe(NOW, &first, ProbeResult::Ready);
    }
    assert!((0..9).all(|number| fleet[number].is_coordinator(domain, false) == is_first(number)));
}

/// Domains must keep their coordinators while the store is unavailable to all nodes.
#[test]
fn is_coordinator_store_unavailable() {
    let domains = domains(12);
    let mut fleet = fleet(9, &domains);
    let before: Vec<_> =
        domains.iter().map(|domain| fleet[0].coordinator_of(domain, false).cloned()).collect();
    for peers in &mut fleet {
        (0..9).for_each(|other| {
            peers.record_probe(NOW, &node(other), ProbeResult::CutOff);
        });
    }
    let after = domains.iter().map(|domain| fleet[0].coordinator_of(domain, true).cloned());
    assert_eq!(after.collect::<Vec<_>>(), before);
}

/// Store calls would grow with the fleet if every relay polled the store; only the two roots may.
#[test]
fn upstream_tree() {
    for (nodes, relays) in [(4, 0), (9, 2), (59, 2), (60, 5), (195, 11), (340, 19)] {
        let fleet = fleet(nodes, &[]);
        let upstreams: Vec<_> = fleet.iter().map(Peers::upstream).collect();
        let is_relay: BTreeSet<_> =
            (0..nodes).filter(|&n| upstreams[n].is_relay).map(node).collect();
        assert_eq!(is_relay.len(), relays, "{nodes} nodes");
        let at_store = upstreams.iter().filter(|upstream| upstream.relays.is_empty()).count();
        assert_eq!(at_store, if relays == 0 { nodes } else { 2 }, "{nodes} nodes");
        let mut followers: BTreeMap<_, usize> = BTreeMap::new();
        for upstream in &upstreams {
            let Some(relay) = upstream.relays.first() else { continue };
            assert!(is_relay.contains(&relay.node), "{nodes} nodes");
            *followers.entry(relay.node.clone()).or_default() += 1;
        }
        // Relays are chosen by hash, so a relay may have up to twice the average number of
        // followers.
        assert!(followers.values().all(|&count| count <= 40), "{nodes} nodes: {followers:?}");
    }
}

/// Relays on the smallest nodes would be overloaded by their followers, and a relay in another data
/// centre would multiply the traffic between data centres.
#[test]
fn upstream_by_data_centre_and_capacity() {
    let records: Vec<_> = (0..150)
        .map(|number| NodeRecord {
            data_centre: DataCentreName::new(["a", "b", "c"][number % 3]),
            millicores: if number < 12 { 500 } else { 120 },
            ..record(number, 1)
        })
        .collect();
    let peers_of = |own: &NodeRecord| {
        let mut peers = Peers::new(own.node.clone()).with_own_record(own);
        peers.apply_records(NOW, records.clone());
        peers.upstream()
    };
    for own in &records {
        let upstream = peers_of(own);
        assert!(!upstream.is_relay || own.millicores == 500, "{} relays", own.node);
        if !upstream.is_relay {
            let relays = &upstream.relays;
            assert!(
                relays.iter().all(|relay| relay.data_centre == own.data_centre),
                "{}",
                own.node
            );
        }
    }
}

/// A starting node that finds no relay of its data centre, or a directory that differs from what all
/// nodes compute, would send the whole fleet to the store.
#[test]
fn relay_directory_as_computed() {
    let records: Vec<_> = (0..300)
        .map(|number| NodeRecord {
            data_centre: DataCentreName::new(["a", "b", "c"][number % 3]),
            millicores: if number < 30 { 1_000 } else { 120 },
            ..record(number, 1)
        })
        .collect();
    let peers_of = |own: &NodeRecord| {
        let mut peers = Peers::new(own.node.clone()).with_own_record(own);
        peers.replace_records(NOW, records.clone());
        peers
    };
    let fleet: Vec<Peers> = records.iter().map(peers_of).collect();
    let directory = fleet[0].relay_directory();
    assert!(fleet.iter().all(|peers| peers.relay_directory() == directory));
    for (own, peers) in records.iter().zip(&fleet) {
        let upstream = peers.upstream();
        assert_eq!(upstream.is_relay, directory.is_relay(&own.node), "{}", own.node);
        let first = directory.by_preference(&own.node, &own.data_centre)[0];
        assert_eq!(first.data_centre, own.data_centre);
    }
    let page = &records[..60];
    let publishers = Peers::first_publishers(page);
    assert_eq!(publishers.len(), 2);
    assert!(page.iter().filter(|r| publishers.contains(&r.node)).all(|r| r.millicores == 1_000));
}

/// What a starting node reads, and what a relay gives, must not grow faster than the fleet: with the
/// list of all nodes read by each node the bytes grew with its square.
#[test]
fn relay_directory_cost_by_nodes() {
    let cost = |nodes: usize| {
        let records: Vec<_> = (0..nodes)
            .map(|number| NodeRecord {
                data_centre: DataCentreName::new(["a", "b", "c", "d", "e"][number % 5]),
                millicores: if number % 20 == 0 { 1_000 } else { 120 },
                ..record(number, 1)
            })
            .collect();
        let mut peers = Peers::new(node(0)).with_own_record(&records[0]);
        peers.replace_records(NOW, records.clone());
        let directory = peers.relay_directory();
        let mut followers: BTreeMap<NodeName, usize> = BTreeMap::new();
        for own in &records {
            let relay = directory.by_preference(&own.node, &own.data_centre)[0];
            *followers.entry(relay.node.clone()).or_default() += 1;
        }
        (directory.roots.len(), directory.relays.len(), followers.into_values().max().unwrap())
    };
    for nodes in [100, 300, 1_000, 2_000] {
        let (roots, relays, followers) = cost(nodes);
        assert_eq!(roots, 2, "{nodes} nodes");
        assert!(relays <= nodes / 20 + 5, "{relays} relays of {nodes} nodes");
        assert!(followers <= 50, "{followers} followers of one relay, {nodes} nodes");
    }
}

/// A node that others ask while their sources are silent, and that keeps nothing for them, would leave
/// them behind.
#[test]
fn upstream_names_nodes_that_keep() {
    for nodes in [2, 4, 5, 8, 59, 60, 150, 300] {
        let records: Vec<_> = (0..nodes)
            .map(|number| NodeRecord {
                data_centre: DataCentreName::new(["a", "b", "c"][number % 3]),
                ..record(number, 1)
            })
            .collect();
        let upstreams: BTreeMap<NodeName, _> = records
            .iter()
            .map(|own| {
                let mut peers = Peers::new(own.node.clone()).with_own_record(own);
                peers.apply_records(NOW, records.clone());
                (own.node.clone(), peers.upstream())
            })
            .collect();
        for (node, upstream) in &upstreams {
            let named: Vec<_> = upstream.relays.iter().chain(&upstream.others).collect();
            assert!(named.iter().all(|record| upstreams[&record.node].is_asked), "{nodes} nodes");
            assert!(named.iter().all(|record| record.node != *node), "{nodes} nodes");
            assert!(named.len() >= (nodes - 1).min(7), "{} named of {nodes}", named.len());
        }
    }
}

/// A node that has left the list must not stay a relay or a coordinator.
#[test]
fn replace_records_removes_missing() {
    let mut peers = Peers::new(node(0));
    peers.replace_records(NOW, (0..5).map(|number| record(number, 1)).collect());
    assert!(peers.replace_records(NOW, (0..3).map(|number| record(number, 1)).collect()));
    assert_eq!(peers.live_count(), 2);
    assert!(peers.remove_record(&node(1)));
    assert!(!peers.remove_record(&node(1)));
    assert_eq!(peers.live_count(), 1);
}

/// Followers of a root that has become unreachable must follow another one.
#[test]
fn upstream_root_silent() {
    let mut fleet = fleet(100, &[]);
    let root = (0..100).find(|&n| fleet[n].upstream().relays.is_empty()).unwrap();
    for peers in &mut fleet {
        for _ in 0..2 {
            peers.record_probe(NOW, &node(root), ProbeResult::Unanswered);
        }
    }
    let others = (0..100).filter(|&n| n != root);
    let upstreams: Vec<_> = others.map(|n| fleet[n].upstream()).collect();
    assert!(upstreams.iter().flat_map(|upstream| &upstream.relays).all(|r| r.node != node(root)));
    assert_eq!(upstreams.iter().filter(|upstream| upstream.relays.is_empty()).count(), 2);
}

/// Callers must not be sent to a node that has stopped answering probes while its record is still
/// in the store.
#[test]
fn advertised_unanswered_node() {
    let mut peers = Peers::new(node(0));
    peers.apply_records(NOW, (0..5).map(|number| record(number, 1)).collect());
    assert!(peers.has_unprobed());
    assert_eq!(peers.advertised(NOW).count(), 0);
    (1..5).for_each(|other| {
        peers.record_probe(NOW, &node(other), ProbeResult::Ready);
    });
    assert_eq!((peers.advertised(NOW).count(), peers.live_count()), (4, 4));
    assert!(!peers.record_probe(NOW, &node(1), ProbeResult::Unanswered));
    assert!(peers.record_probe(NOW, &node(1), ProbeResult::Unanswered));
    assert_eq!((peers.advertised(NOW).count(), peers.live_count()), (3, 3));
    assert_eq!(peers.advertised(NOW.after(5_000)).count(), 0);
    let late = NOW.after(60_000);
    assert!(peers.apply_records(late, (2..5).map(|number| record(number, 2)).collect()));
    assert!(peers.record(&node(1)).is_none());
    assert_eq!(peers.live_count(), 3);
}

/// A heartbeat alone must not be reported as a change, or every node would process all heartbeats.
#[test]
fn update_heartbeat_alone() {
    let mut peers = Peers::new(node(0));
    assert!(peers.apply_records(NOW, vec![record(1, 1)]));
    assert!(!peers.apply_records(NOW, vec![record(1, 2)]));
    let moved = NodeRecord { peer_address: "10.0.0.9:82".parse().unwrap(), ..record(1, 3) };
    assert!(peers.apply_records(NOW, vec![moved]));
}

/// Incrementally updated rankings must equal rebuilt ones for any order of events.
#[test]
fn ranking_as_rebuilt() {
    for seed in 0..100 {
        let mut random = Gen::from_size_and_seed(10, seed);
        let domains = domains(3);
        let mut peers = Peers::new(node(0));
        peers.set_domains(&domains);
        let mut heartbeats = 0;
        let mut ready = BTreeMap::from([(node(0), true)]);
        for _ in 0..40 {
            heartbeats += 1;
            let number = 1 + usize::arbitrary(&mut random) % 12;
            let is_ready = bool::arbitrary(&mut random);
            peers.apply_records(
                NOW,
                vec![NodeRecord { ready: is_ready, ..record(number, heartbeats) }],
            );
            ready.insert(node(number), is_ready);
            for domain in &domains {
                let mut rebuilt = Ranking::new(domain.as_str());
                let ready_nodes = ready.iter().filter(|&(_, &ready)| ready);
                ready_nodes.for_each(|(node, _)| rebuilt.insert(node));
                assert_eq!(
                    peers.coordinator_of(domain, false),
                    rebuilt.nodes().next(),
                    "seed {seed}"
                );
            }
        }
    }
}

/// Nodes that share a rate must each have a place of their own; one that leaves comes last.
#[test]
fn position_for_each_node() {
    for nodes in [1, 2, 9, 60] {
        let fleet = fleet(nodes, &[]);
        let places: BTreeSet<_> =
            fleet.iter().map(|peers| peers.position_for("vm-1", false)).collect();
        let expected: BTreeSet<_> = (0..nodes).map(|rank| (rank, nodes)).collect();
        assert_eq!(places, expected);
        assert_eq!(fleet[0].position_for("vm-1", true), (nodes - 1, nodes));
    }
}
