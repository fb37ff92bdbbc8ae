use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_fleet::{DomainTargets, EngineProfile, FleetView, Replica, ReplicaKey};
use celeryhaven_types::DomainName;

/// The input of a planner for one step.
#[derive(Clone, Copy, Debug)]
pub struct FormingView<'a> {
    /// All listed targets.
    pub fleet: &'a FleetView,
    /// The replicas that listed targets report.
    pub replicas: &'a BTreeMap<ReplicaKey, Replica>,
    /// Replicas that are listed or were listed recently.
    pub recently_listed: &'a BTreeSet<ReplicaKey>,
    /// The profile of the engines.
    pub profile: &'a EngineProfile,
    /// The fabric domains of the service outside evacuated data centres, by name.
    pub domains: &'a [ListedDomain<'a>],
    /// Whether callers have sent requests, to this node or to another.
    pub traffic_seen: bool,
    /// Whether the store is available to this node. Without it nothing can be planned.
    pub store_available: bool,
}

/// A fabric domain and its listed targets.
#[derive(Clone, Copy, Debug)]
pub struct ListedDomain<'a> {
    /// The name of the domain.
    pub name: &'a DomainName,
    /// The targets of the domain.
    pub targets: &'a DomainTargets,
}

impl<'a> ListedDomain<'a> {
    /// Creates a domain from its name and targets.
    pub fn new((name, targets): (&'a DomainName, &'a DomainTargets)) -> Self {
        Self { name, targets }
    }
}
