use std::collections::BTreeMap;

use celeryhaven_fleet::{Configuration, FleetView, Replica, ReplicaKey, TargetPhase};

use crate::traffic::{Routable, RoutableName};

/// Everything that requests may be sent to: whole replicas, and ready targets of plain services.
pub(crate) fn routables(
    config: &Configuration,
    fleet: &FleetView,
    replicas: &BTreeMap<ReplicaKey, Replica>,
) -> Vec<Routable> {
    let whole = replicas.values().filter_map(|replica| replica_routable(config, fleet, replica));
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
