use std::net::SocketAddr;

use celeryhaven_derives::state;
use celeryhaven_types::{
    DataCentreName, DomainName, Generation, ModelName, ReplicaName, ServiceName, VmName,
};

state! {
    /// The platform's listing of one target.
    pub struct TargetEntry {
        /// The name; a restarted target may keep it.
        pub name: VmName,
        /// The service to which it belongs.
        pub service: ServiceName,
        /// The address on which it listens.
        pub address: SocketAddr,
        /// The data centre.
        pub data_centre: DataCentreName,
        /// The fabric domain, if the target can be a member of a replica.
        pub domain: Option<DomainName>,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Whether the target accepts new work.
        pub phase: TargetPhase,
        /// Start time of its process, in Unix milliseconds; a restarted process holds no earlier
        /// state.
        pub started_at_ms: Option<u64>,
        /// Number of the report, which rises while the process runs; `None` if not known.
        pub report_number: Option<u64>,
        /// How much longer it bears few requests after its start, in milliseconds, when the entry
        /// was written.
        pub cold_ms: u64,
        /// The replica to which it belongs.
        pub membership: Option<Membership>,
        /// The model loaded on its accelerators.
        pub model: Option<ModelName>,
        /// Models staged on its host, which load faster.
        pub staged: Vec<ModelName>,
    }

    /// Whether a target accepts new work.
    #[derive(Copy, Eq)]
    pub enum TargetPhase {
        /// Accepts new work.
        Ready,
        /// Completes its work and then leaves.
        Draining,
    }

    /// A target's membership of a replica, as reported by the target.
    #[derive(Eq)]
    pub struct Membership {
        /// The replica.
        pub replica: ReplicaName,
        /// The formation.
        pub generation: Generation,
        /// The rank in the replica; 0 is the head, which takes the requests.
        pub rank: u32,
        /// The state of the member.
        pub state: MemberState,
    }

    /// The state of a member.
    #[derive(Copy, Eq)]
    pub enum MemberState {
        /// Loading the model.
        Joining,
        /// Ready; the head may be opened.
        Ready,
        /// Serving, as the head.
        Open,
        /// The head is completing its work, after which it is ready again.
        Closing,
        /// The replica has lost a member.
        Broken,
    }
}

impl TargetEntry {
    /// Whether every model would have to be loaded from the weights store.
    pub fn is_empty(&self) -> bool {
        self.model.is_none() && self.staged.is_empty()
    }
}
