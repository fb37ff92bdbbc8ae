//! Which peer runs a request.

use celeryhaven_delegation::{Peer, PeerSet};
use celeryhaven_types::{Map, NodeName, ServiceName, TimeMs};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: TimeMs = TimeMs::new(1_000);

fn service() -> ServiceName {
    ServiceName::new("models")
}

fn node(number: usize) -> NodeName {
    NodeName::new(format!("front-{number}"))
}

fn peers(count: usize) -> PeerSet {
    let peer = |number| Peer {
        node: node(number),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        token: String::new(),
        is_isolated: false,
    };
    let mut peers = PeerSet::new();
    peers.set_peers((0..count).map(peer).collect());
    peers
}

/// Peers must not be flooded one after the other.
#[test]
fn choose_spreads_requests() {
    let (mut peers, mut rng) = (peers(5), SmallRng::seed_from_u64(7));
    let mut chosen: Map<NodeName, u32> = Map::default();
    for _ in 0..1_000 {
        let node = peers.choose(NOW, &service(), &[], &mut rng).map(|peer| peer.node.clone());
        let node = node.unwrap_or_else(|| panic!("no peer was chosen"));
        peers.sent(&node);
        *chosen.entry(node).or_default() += 1;
    }
    assert!(chosen.values().all(|count| (150..250).contains(count)), "{chosen:?}");
}

#[test]
fn choose_none_left() {
    let (mut peers, mut rng) = (peers(2), SmallRng::seed_from_u64(7));
    peers.avoid(NOW, &node(0), &service());
    assert!(peers.choose(NOW, &service(), &[node(1)], &mut rng).is_none());
    let chosen = peers.choose(NOW.after(500), &service(), &[node(1)], &mut rng);
    assert_eq!(chosen.map(|peer| &peer.node), Some(&node(0)));
}

#[test]
fn avoid_other_service() {
    let (mut peers, mut rng) = (peers(1), SmallRng::seed_from_u64(7));
    peers.avoid(NOW, &node(0), &ServiceName::new("portal"));
    assert!(peers.choose(NOW, &service(), &[], &mut rng).is_some());
}
