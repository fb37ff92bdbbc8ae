use std::net::SocketAddr;
use std::sync::Arc;

use celeryhaven_clock::BootClock;
use celeryhaven_fleet::{Configuration, FleetView, Replica, TargetPhase};

use crate::adapter::Adapter;
use crate::control::Control;
use crate::traffic::{Routable, RoutableName, TrafficUpdate};

impl<A: Adapter> Control<A> {
    /// Everything that requests may be sent to, by the list and the configuration as they stand.
    pub(super) fn find_routables(&self) -> Arc<[Routable]> {
        let found = match &self.routes {
            Some(routes) => routables(routes.config(), &self.fleet),
            None => Vec::new(),
        };
        let whole = found.iter().filter(|routable| routable.model.is_some()).count();
        self.parts.metrics.replicas_whole.set(whole as i64);
        match found == *self.routables {
            true => self.routables.clone(),
            false => found.into(),
        }
    }

    /// Tells traffic what it may use, if that is not what it was told last.
    pub(super) fn publish(&mut self) {
        let update = TrafficUpdate {
            routes: self.routes.clone(),
            routables: self.routables.clone(),
            addresses: self.addresses(),
            sharers: self.peers.live_count() as u32 + 1,
            ready: self.is_ready(),
            cut_off_until: self.cut_off_until,
        };
        if !self.published.as_ref().is_some_and(|told| told.is_same_as(&update)) {
            self.published = Some(update.clone());
            // The channel is without a bound, and traffic lives as long as this thread.
            self.parts.traffic.try_send(update).unwrap_or_default();
        }
    }

    fn is_ready(&self) -> bool {
        self.routes.is_some() && self.listed && !self.leaving
    }

    /// Where callers may be sent.
    fn addresses(&self) -> Vec<SocketAddr> {
        let named = self.peers.advertised(BootClock.now()).map(|record| record.caller_address);
        let own = self.is_ready().then_some(self.parts.settings.caller_listen);
        named.chain(own).collect()
    }
}

/// Whole replicas, and ready targets of plain services.
fn routables(config: &Configuration, fleet: &FleetView) -> Vec<Routable> {
    let replicas = fleet.replicas().values();
    let whole = replicas.filter_map(|replica| replica_routable(config, fleet, replica));
    let plain = config.services.iter().filter(|service| service.engine.is_none());
    let plain = plain.flat_map(|service| {
        let targets = fleet.targets().filter(move |entry| entry.service == service.name);
        targets.filter(|entry| entry.phase == TargetPhase::Ready).map(|entry| Routable {
            name: RoutableName::Plain(entry.name.clone()),
            service: service.name.clone(),
            model: None,
            target: entry.name.clone(),
            address: entry.address,
            slots: entry.slots,
        })
    });
    whole.chain(plain).collect()
}

fn replica_routable(
    config: &Configuration,
    fleet: &FleetView,
    replica: &Replica,
) -> Option<Routable> {
    let engine = config.service(&replica.service)?.engine.as_ref()?;
    let model = engine.model(replica.model.as_ref()?)?;
    if !replica.is_whole(model.size) {
        return None;
    }
    let head = fleet.target(replica.head()?)?;
    Some(Routable {
        name: RoutableName::Replica(replica.key.clone()),
        service: replica.service.clone(),
        model: replica.model.clone(),
        target: head.name.clone(),
        address: head.address,
        slots: engine.slots,
    })
}
