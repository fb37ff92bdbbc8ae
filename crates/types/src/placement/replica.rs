use celeryhaven_derives::data;

use crate::names::{DeploymentName, Generation, ModelName, ModelVersion, ReplicaName, VmName};

data! {
    /// Phase of a replica's life cycle.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum ReplicaPhase {
        /// The VMs load weights and join; the replica receives no requests.
        Forming,
        /// The replica receives requests while the reports of all members agree.
        Serving,
        /// The replica receives no new requests and completes those running.
        Draining,
    }

    /// A set of VMs that together serve one copy of a model.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Replica {
        /// Name, never reused.
        pub name: ReplicaName,
        /// The deployment that the replica belongs to.
        pub deployment: DeploymentName,
        /// The model that callers request.
        pub model: ModelName,
        /// The version that the members load.
        pub version: ModelVersion,
        /// Number of the current formation.
        pub generation: Generation,
        /// Members in rank order; rank 0 receives the requests.
        pub vms: Vec<VmName>,
        /// Current phase.
        pub phase: ReplicaPhase,
    }
}
