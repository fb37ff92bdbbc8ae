use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_membership::{Member, MemberState, Membership};
use celeryhaven_spread::{FleetView, SpreadPeer};
use celeryhaven_types::{DataCentreName, NodeName};

use crate::entry::rank::rank;

/// Nodes of each data centre that watch the Object API; the second covers the failure of the first.
const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Role name for rendezvous hashing.
const RELAY_ROLE: &str = "relay";

/// Returns the peers and relays derived from membership.
pub(crate) fn surroundings(membership: &Membership) -> FleetView {
    let relays = relays(membership);
    let me = membership.me();
    let others = membership.live().filter(|member| member.node() != me.node());
    let peers = others.map(|member| SpreadPeer {
        node: member.node().clone(),
        in_same_data_centre: member.data_centre == me.data_centre,
        is_relay: relays.contains(member.node()),
    });
    let (answering, known) = membership.answering_and_known();
    FleetView { peers: peers.collect(), is_relay: relays.contains(me.node()), answering, known }
}

/// Whether this node reports the status of its data centre.
pub(crate) fn is_reporter(membership: &Membership) -> bool {
    let me = membership.me();
    let place = ranked(membership).remove(&me.data_centre);
    place.and_then(|ranked| ranked.into_iter().max()).is_some_and(|(_, node)| node == me.node())
}

/// Returns the two highest ranked reachable nodes of each data centre.
///
/// Nodes with different membership views may select different relays: a surplus relay costs a
/// watch, and reads by the nodes themselves make up for a missing one.
fn relays(membership: &Membership) -> BTreeSet<NodeName> {
    let highest = ranked(membership).into_values().flat_map(|mut ranked| {
        ranked.sort();
        ranked.into_iter().rev().take(RELAYS_PER_DATA_CENTRE)
    });
    highest.map(|(_, node)| node.clone()).collect()
}

/// Returns the reachable nodes with their rank, by data centre.
fn ranked(membership: &Membership) -> BTreeMap<&DataCentreName, Vec<(u64, &NodeName)>> {
    let mut by_data_centre: BTreeMap<&DataCentreName, Vec<(u64, &NodeName)>> = BTreeMap::new();
    let answers = |member: &&Member| {
        membership.find(member.node()).is_some_and(|(_, state)| state == MemberState::Alive)
    };
    for member in membership.live().filter(answers) {
        let ranked = by_data_centre.entry(&member.data_centre).or_default();
        ranked.push((rank(RELAY_ROLE, member.node().as_str()), member.node()));
    }
    by_data_centre
}
