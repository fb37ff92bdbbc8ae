use std::net::SocketAddr;
use std::sync::Arc;

use celeryhaven_clock::BootClock;
use celeryhaven_delegation::Peer;
use celeryhaven_fleet::{Configuration, FleetView, Replica, TargetPhase};

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::feed_conditions::FleetScale;
use crate::traffic::{Destination, DestinationName, Senders, TrafficUpdate};

/// Key of the order of the nodes that send to the same targets.
const SENDERS_KEY: &str = "senders";

/// One part in this many of the nodes must not be isolated for the isolated to be left out of address
/// answers.
const ISOLATED_LEFT_OUT_MAX_PART: usize = 2;

impl<A: Adapter> Control<A> {
    /// Returns all destinations for the current targets and configuration.
    pub(super) fn find_destinations(&self) -> Arc<[Destination]> {
        let found = match &self.routes {
            Some(routes) => destinations(routes.config(), &self.fleet),
            None => Vec::new(),
        };
        let whole = found.iter().filter(|destination| destination.model.is_some()).count();
        self.parts.metrics.replicas_whole.set(whole as i64);
        match found == *self.destinations {
            true => self.destinations.clone(),
            false => found.into(),
        }
    }

    /// Sends an update to traffic if anything has changed since the last one.
    pub(super) fn publish(&mut self) {
        let update = TrafficUpdate {
            routes: self.routes.clone(),
            destinations: self.destinations.clone(),
            addresses: self.addresses(),
            senders: self.senders(),
            peers: self.delegation_peers(),
            ready: self.is_ready(),
            cut_off_until: self.cut_off_until,
            evacuations: self.fleet.evacuations().clone(),
            limits: self.node_limits.clone(),
            held: self.ends.held.clone(),
            quiet_at_peers: self.quiet_notices.heard.clone(),
            standings: self.advisories_listed.then(|| self.standings.clone()),
        };
        if !self.published.as_ref().is_some_and(|last| last.is_same_as(&update)) {
            self.published = Some(update.clone());
            // The channel is unbounded, and traffic runs as long as this thread, so a send cannot
            // fail.
            self.parts.traffic.try_send(update).unwrap_or_default();
        }
    }

    fn is_ready(&self) -> bool {
        let is_informed = self.targets_listed && self.advisories_listed && self.evacuations_listed;
        // A node that knows few others would take too large a part of what all nodes share.
        let is_informed = is_informed
            && (self.nodes_listed || self.feed_conditions.fleet_scale.get() != FleetScale::Large);
        self.routes.is_some() && is_informed && !self.leaving
    }

    /// Returns the addresses to advertise to callers.
    ///
    /// Isolated nodes are left out, unless the others would be too few for all callers.
    fn addresses(&self) -> Vec<SocketAddr> {
        let own =
            self.is_ready().then_some((self.parts.settings.caller_listen, self.is_isolated()));
        let advertised = self.peers.advertised(BootClock.now());
        let advertised =
            advertised.map(|(record, is_isolated)| (record.caller_address, is_isolated));
        let all: Vec<(SocketAddr, bool)> = advertised.chain(own).collect();
        let connected = all.iter().filter(|(_, is_isolated)| !is_isolated).count();
        let includes_isolated = connected * ISOLATED_LEFT_OUT_MAX_PART < all.len();
        let included = all.into_iter().filter(|(_, is_isolated)| includes_isolated || !is_isolated);
        included.map(|(address, _)| address).collect()
    }

    fn senders(&self) -> Senders {
        let (rank, nodes) = self.peers.position_for(SENDERS_KEY, self.leaving);
        Senders { nodes: nodes as u32, rank: rank as u32 }
    }

    /// Returns the nodes that can run requests for this one.
    fn delegation_peers(&self) -> Arc<[Peer]> {
        let advertised = self.peers.advertised(BootClock.now());
        let peers = advertised.map(|(record, is_isolated)| Peer {
            node: record.node.clone(),
            address: record.caller_address,
            token: record.token.clone(),
            is_isolated,
        });
        peers.collect()
    }
}

/// Returns the whole replicas and the ready targets of plain services.
fn destinations(config: &Configuration, fleet: &FleetView) -> Vec<Destination> {
    let replicas = fleet.replicas().values();
    let whole = replicas.filter_map(|replica| replica_destination(config, fleet, replica));
    let plain = config.services.iter().filter(|service| service.engine.is_none());
    let plain = plain.flat_map(|service| {
        let targets = fleet.targets().filter(move |entry| entry.service == service.name);
        let ready =
            targets.filter(|entry| entry.phase == TargetPhase::Ready && !fleet.is_evacuated(entry));
        ready.map(|entry| Destination {
            name: DestinationName::Plain(entry.name.clone()),
            service: service.name.clone(),
            model: None,
            target: entry.name.clone(),
            data_centre: entry.data_centre.clone(),
            address: entry.address,
            slots: entry.slots,
            started_at_ms: entry.started_at_ms,
        })
    });
    whole.chain(plain).collect()
}

fn replica_destination(
    config: &Configuration,
    fleet: &FleetView,
    replica: &Replica,
) -> Option<Destination> {
    let engine = config.service(&replica.service)?.engine.as_ref()?;
    let model = engine.model(replica.model.as_ref()?)?;
    let is_cut_off =
        || replica.is_whole_but_for_lapses(model.size) && fleet.has_many_lapses(&model.name);
    let may_serve = replica.is_whole(model.size) || is_cut_off();
    if !may_serve || fleet.is_replica_evacuated(replica) {
        return None;
    }
    let head = fleet.target(replica.head()?)?;
    Some(Destination {
        name: DestinationName::Replica(replica.key.clone()),
        service: replica.service.clone(),
        model: replica.model.clone(),
        target: head.name.clone(),
        data_centre: head.data_centre.clone(),
        address: head.address,
        slots: engine.slots,
        started_at_ms: head.started_at_ms,
    })
}
