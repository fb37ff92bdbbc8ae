use celeryhaven_derives::data;

use crate::names::{DataCentreName, DomainName, Fence, ReplicaName, VmName};
use crate::placement::Replica;

data! {
    /// All VM assignments of a fabric domain, stored in the Object API at `placement/<domain>`.
    ///
    /// A VM is in at most one replica or in `releasing`. The object is replaced by a conditional
    /// update, so a VM never belongs to two replicas.
    #[serde(deny_unknown_fields)]
    pub struct DomainPlacement {
        /// The fabric domain.
        pub domain: DomainName,
        /// The domain's data centre.
        pub data_centre: DataCentreName,
        /// Fencing number of the lease holder that wrote it.
        pub fence: Fence,
        /// Identifier of the write, to check whether an unanswered write took effect.
        pub write_id: u64,
        /// Number used in the name of the domain's next replica.
        pub next_replica: u64,
        /// Replicas and their VMs.
        pub replicas: Vec<Replica>,
        /// VMs removed from a replica but not yet free.
        #[serde(default)]
        pub releasing: Vec<ReleasingVm>,
    }

    /// A VM removed from its replica that may still execute an order sent earlier.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct ReleasingVm {
        /// The VM.
        pub vm: VmName,
        /// The replica that the VM belonged to.
        pub replica: ReplicaName,
    }
}
