use celeryhaven_derives::data;

use crate::config::ConfigNumber;
use crate::names::{DataCentreName, DomainName, Fence, Incarnation, NodeName, ReplicaName, VmName};
use crate::placement::DomainPlacement;

data! {
    /// State of the system, as read by a controller for an operator.
    #[serde(deny_unknown_fields)]
    pub struct StatusReport {
        /// The latest accepted configuration; zero if there is none.
        pub config_number: ConfigNumber,
        /// Target VMs drained by operators.
        pub drained_vms: Vec<VmName>,
        /// Entry VMs drained by operators.
        pub drained_nodes: Vec<NodeName>,
        /// All fabric domains, sorted by name.
        pub domains: Vec<DomainStatus>,
        /// All leases, sorted by name.
        pub leases: Vec<LeaseStatus>,
        /// Latest status of each data centre.
        pub data_centres: Vec<DataCentreStatus>,
        /// Number of desired replicas that fit into no fabric domain.
        pub replicas_unplaced: u32,
    }

    /// Placement and health of a fabric domain.
    #[serde(deny_unknown_fields)]
    pub struct DomainStatus {
        /// The domain's replicas with their VMs.
        pub placement: DomainPlacement,
        /// Number of the domain's engine VMs in the VM list.
        pub vms_listed: u32,
        /// Serving replicas that are not whole, according to the domain's latest health report.
        pub broken: Vec<ReplicaName>,
    }

    /// Health of a fabric domain, written by its lease holder to `health/<domain>`.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct DomainHealth {
        /// The fabric domain.
        pub domain: DomainName,
        /// Fencing number of the lease holder that wrote it.
        pub fence: Fence,
        /// Identifier of the write.
        pub write_id: u64,
        /// Serving replicas that are not whole.
        pub broken: Vec<ReplicaName>,
    }

    /// A lease and its holder.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct LeaseStatus {
        /// Key of the lease, such as `leases/fabric-1`.
        pub key: String,
        /// Holder of the lease.
        pub holder: Incarnation,
        /// Fencing number of the lease.
        pub fence: Fence,
    }

    /// Status of a data centre, written by one of its entries to `status/<data centre>`.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct DataCentreStatus {
        /// The data centre.
        pub data_centre: DataCentreName,
        /// The entry that wrote it.
        pub node: NodeName,
        /// Lowest configuration number in force among the data centre's entries.
        pub config_number: ConfigNumber,
        /// Number of entries there that the writer considers alive.
        pub entries_alive: u32,
        /// Time of the write by the writer's clock, in milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
    }
}

impl StatusReport {
    /// Returns the placement of a fabric domain, if it has one.
    pub fn placement(&self, domain: &DomainName) -> Option<&DomainPlacement> {
        let mut placements = self.domains.iter().map(|status| &status.placement);
        placements.find(|placement| placement.domain == *domain)
    }
}
