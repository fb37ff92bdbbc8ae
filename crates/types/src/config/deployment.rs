use celeryhaven_derives::data;

use crate::config::Priority;
use crate::names::{
    AdapterName, DataCentreName, DeploymentName, ModelName, ModelVersion, OrganisationName,
};

data! {
    /// Whether a deployment's engines refuse orders with an outdated fencing number.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum FencingMode {
        /// Engines refuse a fencing number lower than the highest they have received.
        Checked,
        /// Engines execute every order; the controller waits until earlier orders have expired.
        Ignored,
    }

    /// A model version served by a number of replicas.
    #[serde(deny_unknown_fields)]
    pub struct Deployment {
        /// Name, unique among deployments.
        pub name: DeploymentName,
        /// The model that callers request.
        pub model: ModelName,
        /// The version that every replica loads.
        pub version: ModelVersion,
        /// Adapters that every replica can serve.
        #[serde(default)]
        pub adapters: Vec<AdapterName>,
        /// Size of the weights that each VM loads, in bytes.
        pub weights_bytes: u64,
        /// Desired number of replicas.
        pub replicas: u32,
        /// Number of VMs in each replica, all in one fabric domain.
        pub vms_per_replica: u32,
        /// Number of requests that one replica runs concurrently.
        pub slots_per_replica: u32,
        /// Priority when VMs are scarce; the deployment with the lowest loses VMs first.
        pub priority: Priority,
        /// Organisations allowed to use the deployment; empty means all.
        #[serde(default)]
        pub organisations: Vec<OrganisationName>,
        /// Data centres in which replicas may run; empty means all.
        #[serde(default)]
        pub data_centres: Vec<DataCentreName>,
        /// Whether the engines check fencing numbers.
        pub fencing: FencingMode,
    }
}
