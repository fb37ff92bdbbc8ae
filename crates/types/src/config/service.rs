use std::net::SocketAddr;

use celeryhaven_derives::data;

use crate::names::{DataCentreName, OrganisationName, ServiceName, VmName};

data! {
    /// A service other than a model engine, to which calls are forwarded unchanged.
    #[serde(deny_unknown_fields)]
    pub struct PlainService {
        /// Name, as in the path `/services/<name>/...`.
        pub name: ServiceName,
        /// Targets that run the service.
        pub targets: Vec<PlainTarget>,
        /// Number of calls that one target runs concurrently.
        pub slots_per_target: u32,
        /// HTTP methods that may be retried, such as `GET`.
        pub idempotent_methods: Vec<String>,
        /// Organisations allowed to use the service; empty means all.
        #[serde(default)]
        pub organisations: Vec<OrganisationName>,
    }

    /// A VM that runs a plain service.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct PlainTarget {
        /// The VM.
        pub vm: VmName,
        /// Address of the service.
        pub address: SocketAddr,
        /// Data centre of the VM.
        pub data_centre: DataCentreName,
    }
}
