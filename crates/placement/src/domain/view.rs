use std::collections::BTreeMap;

use celeryhaven_derives::state;
use celeryhaven_types::{Deployment, DomainPlacement, Objective, VmName};

use crate::domain::VmState;

state! {
    /// A deployment and the number of its replicas that a fabric domain should run.
    pub struct WantedDeployment {
        /// The deployment, in the version assigned to this domain.
        pub deployment: Deployment,
        /// Number of replicas in this domain.
        pub replicas: u32,
    }
}

/// Inputs for planning a fabric domain.
#[derive(Clone, Copy, Debug)]
pub struct DomainView<'a> {
    /// The stored placement.
    pub placement: &'a DomainPlacement,
    /// VMs of the domain.
    pub vms: &'a BTreeMap<VmName, VmState>,
    /// Deployments that the domain should run.
    pub wanted: &'a [WantedDeployment],
    /// Weights of downtime and of stranded accelerators.
    pub objective: Objective,
}
