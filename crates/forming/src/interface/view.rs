use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_fleet::{DomainTargets, EngineProfile, FleetView, Replica, ReplicaKey};
use celeryhaven_types::DomainName;

/// What a decider looks at in one step.
#[derive(Clone, Copy, Debug)]
pub struct FormingView<'a> {
    /// All listed targets.
    pub fleet: &'a FleetView,
    /// The replicas that they name.
    pub replicas: &'a BTreeMap<ReplicaKey, Replica>,
    /// Replicas that the list has shown lately, whether it still does or not.
    pub recently_listed: &'a BTreeSet<ReplicaKey>,
    /// What is known of the engines.
    pub profile: &'a EngineProfile,
    /// Domains of the service, by name.
    pub domains: &'a [ListedDomain<'a>],
    /// Whether callers have sent requests yet; loads are free of limits before.
    pub traffic_seen: bool,
    /// Whether the store serves this node: without it nothing can be planned.
    pub store_available: bool,
}

/// A fabric domain and its listed targets.
#[derive(Clone, Copy, Debug)]
pub struct ListedDomain<'a> {
    /// Its name.
    pub name: &'a DomainName,
    /// Its targets.
    pub targets: &'a DomainTargets,
}

impl<'a> ListedDomain<'a> {
    /// A domain with these targets.
    pub fn new((name, targets): (&'a DomainName, &'a DomainTargets)) -> Self {
        Self { name, targets }
    }
}
