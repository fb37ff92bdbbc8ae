use celeryhaven_derives::data;
use celeryhaven_types::{ConfigNumber, DeploymentName, DomainName, Fence, ModelVersion};

data! {
    /// Replicas allocated to each fabric domain, stored in the Object API at `allocation/current`.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Allocation {
        /// Fencing number of the holder that wrote it.
        pub fence: Fence,
        /// Identity of the write.
        pub write_id: u64,
        /// Configuration that it was made from; lease holders of domains wait until they have it.
        pub config: ConfigNumber,
        /// Sorted by deployment, then domain; without shares of zero replicas.
        pub shares: Vec<Share>,
    }

    /// Replicas of a deployment that are allocated to one fabric domain.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Share {
        /// The deployment.
        pub deployment: DeploymentName,
        /// The fabric domain.
        pub domain: DomainName,
        /// Number of replicas.
        pub replicas: u32,
        /// Version that this domain runs; a new one is rolled out one domain at a time.
        pub version: ModelVersion,
    }
}
