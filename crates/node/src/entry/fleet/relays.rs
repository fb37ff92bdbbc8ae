use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_membership::{Member, MemberState, Membership};
use celeryhaven_spread::{FleetView, SpreadPeer};
use celeryhaven_types::{DataCentreName, NodeName};

use crate::entry::rank::rank;

/// Nodes of each data centre that follow the Object API. One would leave a data centre to its
/// peers for a failure's time; each one more costs two waiting watches a data centre.
const RELAYS: usize = 2;

/// The role in the ranking.
const ROLE: &str = "relay";

/// What membership says of the fleet, as the spread wants it.
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

/// Whether this node is the one of its data centre that reports for it.
pub(crate) fn is_reporter(membership: &Membership) -> bool {
    let me = membership.me();
    let place = ranked(membership).remove(&me.data_centre);
    place.and_then(|ranked| ranked.into_iter().max()).is_some_and(|(_, node)| node == me.node())
}

/// The two highest ranked nodes of each data centre that answer.
///
/// Nodes whose views differ may name different relays: one too many costs a watch, one too few is
/// made up for by the nodes' own reads. Nothing depends on their number.
fn relays(membership: &Membership) -> BTreeSet<NodeName> {
    let highest = ranked(membership).into_values().flat_map(|mut ranked| {
        ranked.sort();
        ranked.into_iter().rev().take(RELAYS)
    });
    highest.map(|(_, node)| node.clone()).collect()
}

/// Nodes that answer, with their rank, by data centre.
fn ranked(membership: &Membership) -> BTreeMap<&DataCentreName, Vec<(u64, &NodeName)>> {
    let mut by_place: BTreeMap<&DataCentreName, Vec<(u64, &NodeName)>> = BTreeMap::new();
    let answers = |member: &&Member| {
        membership.find(member.node()).is_some_and(|(_, state)| state == MemberState::Alive)
    };
    for member in membership.live().filter(answers) {
        let ranked = by_place.entry(&member.data_centre).or_default();
        ranked.push((rank(ROLE, member.node().as_str()), member.node()));
    }
    by_place
}
