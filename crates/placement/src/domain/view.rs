use std::collections::BTreeMap;

use celeryhaven_derives::state;
use celeryhaven_types::{Deployment, DomainPlacement, Objective, VmName};

use crate::domain::VmState;

state! {
    /// What a fabric domain is to hold of one deployment.
    pub struct WantedDeployment {
        /// The deployment, in the version that this domain is to run.
        pub deployment: Deployment,
        /// Number of replicas here.
        pub replicas: u32,
    }
}

/// What is known of a fabric domain when it is planned.
#[derive(Clone, Copy, Debug)]
pub struct DomainView<'a> {
    /// What was written last.
    pub placement: &'a DomainPlacement,
    /// Its VMs.
    pub vms: &'a BTreeMap<VmName, VmState>,
    /// What it is to hold.
    pub wanted: &'a [WantedDeployment],
    /// What a loss of service costs.
    pub objective: Objective,
}
