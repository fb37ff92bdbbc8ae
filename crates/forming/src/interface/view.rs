use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_fleet::{EngineProfile, FleetView, Replica, ReplicaKey};
use celeryhaven_types::DomainName;

/// What a decider looks at in one step.
#[derive(Clone, Copy, Debug)]
pub struct FormingView<'a> {
    /// All listed targets.
    pub fleet: &'a FleetView,
    /// The replicas that they name.
    pub replicas: &'a BTreeMap<ReplicaKey, Replica>,
    /// Replicas that the list has shown lately, whether it still does or not.
    pub shown: &'a BTreeSet<ReplicaKey>,
    /// What is known of the engines.
    pub profile: &'a EngineProfile,
    /// Domains of the service, by name.
    pub domains: &'a [DomainName],
    /// Whether callers have sent requests yet; loads are free of limits before.
    pub traffic_seen: bool,
}
