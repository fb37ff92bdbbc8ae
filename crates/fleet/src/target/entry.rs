use std::net::SocketAddr;

use celeryhaven_derives::state;
use celeryhaven_types::{
    DataCentreName, DomainName, Generation, ModelName, ReplicaName, ServiceName, VmName,
};

state! {
    /// What the platform lists of one target.
    pub struct TargetEntry {
        /// Its name; a target that starts again may keep it.
        pub name: VmName,
        /// The service that it belongs to.
        pub service: ServiceName,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its data centre.
        pub data_centre: DataCentreName,
        /// Its fabric domain, if it can be a member of a replica.
        pub domain: Option<DomainName>,
        /// Requests that it runs side by side.
        pub slots: u32,
        /// Whether it is leaving.
        pub phase: TargetPhase,
        /// Start of its process, in Unix milliseconds; another start holds nothing of before.
        pub started_at_ms: Option<u64>,
        /// The replica that it belongs to.
        pub membership: Option<Membership>,
        /// The model that it has in its accelerators.
        pub model: Option<ModelName>,
        /// Models on its host, which load fast.
        pub staged: Vec<ModelName>,
    }

    /// Whether a target takes new work.
    #[derive(Copy, Eq)]
    pub enum TargetPhase {
        /// It does.
        Ready,
        /// It finishes what it has and leaves.
        Draining,
    }

    /// A target's place in a replica, as it reports it.
    #[derive(Eq)]
    pub struct Membership {
        /// The replica.
        pub replica: ReplicaName,
        /// Which formation of it.
        pub generation: Generation,
        /// Its place; 0 is the head, which takes the requests.
        pub rank: u32,
        /// How far it is.
        pub state: MemberState,
    }

    /// How far a member is.
    #[derive(Copy, Eq)]
    pub enum MemberState {
        /// It loads the model.
        Joining,
        /// It is ready; the head may be opened.
        Ready,
        /// The head serves.
        Open,
        /// The head finishes its work and then is ready again.
        Closing,
        /// The replica has lost a member.
        Broken,
    }
}

impl TargetEntry {
    /// Whether it can serve no model without a load.
    pub fn is_empty(&self) -> bool {
        self.model.is_none() && self.staged.is_empty()
    }
}
