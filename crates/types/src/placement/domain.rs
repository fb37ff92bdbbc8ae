use celeryhaven_derives::data;

use crate::names::{DataCentreName, DomainName, Fence, ReplicaName, VmName};
use crate::placement::Replica;

data! {
    /// Every assignment of one fabric domain, kept in the Object API at `placement/<domain>`.
    ///
    /// A VM stands in at most one replica or among the releasing VMs, and one conditional update
    /// replaces the whole object, so a VM never belongs to two replicas.
    #[serde(deny_unknown_fields)]
    pub struct DomainPlacement {
        /// The fabric domain.
        pub domain: DomainName,
        /// Its data centre.
        pub data_centre: DataCentreName,
        /// Fencing number of the holder that wrote it.
        pub fence: Fence,
        /// Identity of the write, to find out whether a write without an answer took effect.
        pub write_id: u64,
        /// Number that the next replica of the domain takes into its name.
        pub next_replica: u64,
        /// Replicas with their VMs.
        pub replicas: Vec<Replica>,
        /// VMs taken out of a replica and not free yet.
        #[serde(default)]
        pub releasing: Vec<ReleasingVm>,
    }

    /// A VM that has left its replica but may still act on an order sent to it.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct ReleasingVm {
        /// The VM.
        pub vm: VmName,
        /// The replica it left.
        pub replica: ReplicaName,
    }
}
