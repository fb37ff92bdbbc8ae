use celeryhaven_derives::state;
use celeryhaven_types::{ConfigNumber, Generation, ReplicaName};
use celeryhaven_wholeness::NotWholeReason;

state! {
    /// Status of one node for metrics and logs.
    pub struct EntryStatus {
        /// Whether it accepts new requests.
        pub ready: bool,
        /// Number of the configuration in force.
        pub config_number: Option<ConfigNumber>,
        /// Active requests.
        pub requests: usize,
        /// Targets eligible for requests.
        pub targets_up: usize,
        /// Objects of the Object API that could not be parsed.
        pub objects_unreadable: u64,
        /// Replicas that placements contain.
        pub replicas: Vec<ReplicaStatus>,
    }

    /// Status of one replica at this node.
    pub struct ReplicaStatus {
        /// The replica.
        pub replica: ReplicaName,
        /// Its generation.
        pub generation: Generation,
        /// Whether it is eligible for requests.
        pub is_up: bool,
        /// Why it is not whole; `None` if it is whole.
        pub flaw: Option<NotWholeReason>,
    }
}
