use std::collections::BTreeMap;

use celeryhaven_lease::LeaseRecord;
use celeryhaven_placement::{Allocation, replicas_unplaced};
use celeryhaven_types::store::{Object, StoreReply};
use celeryhaven_types::{
    Config, DomainHealth, DomainPlacement, DomainStatus, LeaseStatus, StatusReport,
};
use serde::de::DeserializeOwned;

use crate::controller::operators::Read;
use crate::controller::state::Fleet;

/// Returns the values of a list, without those that cannot be parsed.
pub(crate) fn listed<T: DeserializeOwned>(reply: Option<&StoreReply>) -> Vec<T> {
    let objects = match reply {
        Some(StoreReply::Listed { objects, .. }) => objects.as_slice(),
        _ => &[],
    };
    objects.iter().filter_map(|object| serde_json::from_str(&object.value).ok()).collect()
}

/// Returns the value of an object, if it exists and can be parsed.
pub(crate) fn found<T: DeserializeOwned>(reply: Option<&StoreReply>) -> Option<T> {
    match reply {
        Some(StoreReply::Found(object)) => serde_json::from_str(&object.value).ok(),
        _ => None,
    }
}

/// Builds the reply to a status request.
pub(crate) fn status_report(replies: &BTreeMap<Read, StoreReply>, fleet: &Fleet) -> StatusReport {
    let config: Option<Config> = found(replies.get(&Read::Config));
    let allocation: Option<Allocation> = found(replies.get(&Read::Allocation));
    let shares = allocation.map(|allocation| allocation.shares).unwrap_or_default();
    let placements: Vec<DomainPlacement> = listed(replies.get(&Read::Placements));
    let healths: Vec<DomainHealth> = listed(replies.get(&Read::Healths));
    // The health record of a previous holder may be outdated.
    let broken = |placement: &DomainPlacement| {
        let of = healths
            .iter()
            .find(|health| health.domain == placement.domain && health.fence == placement.fence);
        of.map(|health| health.broken.clone()).unwrap_or_default()
    };
    let domains = placements.into_iter().map(|placement| DomainStatus {
        broken: broken(&placement),
        vms_listed: fleet.engines(&placement.domain).count() as u32,
        placement,
    });
    StatusReport {
        config_number: config.as_ref().map(|config| config.number).unwrap_or_default(),
        replicas_unplaced: config.as_ref().map_or(0, |c| replicas_unplaced(&c.intent, &shares)),
        drained_vms: config.as_ref().map(|c| c.drained_vms.clone()).unwrap_or_default(),
        drained_nodes: config.map(|c| c.drained_nodes).unwrap_or_default(),
        domains: domains.collect(),
        leases: leases(replies.get(&Read::Leases)),
        data_centres: listed(replies.get(&Read::Statuses)),
    }
}

fn leases(reply: Option<&StoreReply>) -> Vec<LeaseStatus> {
    let Some(StoreReply::Listed { objects, .. }) = reply else { return Vec::new() };
    let status = |object: &Object| {
        let record: LeaseRecord = serde_json::from_str(&object.value).ok()?;
        let key = object.key.to_string();
        (!record.released).then_some(LeaseStatus {
            key,
            holder: record.holder,
            fence: record.fence,
        })
    };
    objects.iter().filter_map(status).collect()
}
