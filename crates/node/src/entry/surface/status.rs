use celeryhaven_derives::state;
use celeryhaven_types::{ConfigNumber, Generation, ReplicaName};
use celeryhaven_wholeness::NotWholeReason;

state! {
    /// Figures of one node at one moment, for metrics and logs.
    pub struct EntryStatus {
        /// Whether it takes new requests.
        pub ready: bool,
        /// The configuration in force.
        pub config_number: Option<ConfigNumber>,
        /// Requests without a final answer.
        pub requests: usize,
        /// Targets that may take requests.
        pub targets_up: usize,
        /// Objects of the Object API that could not be read as what they should be.
        pub objects_unreadable: u64,
        /// Every replica that a placement names.
        pub replicas: Vec<ReplicaStatus>,
    }

    /// One replica as this node sees it.
    pub struct ReplicaStatus {
        /// Its name.
        pub replica: ReplicaName,
        /// Which formation.
        pub generation: Generation,
        /// Whether it may take requests.
        pub is_up: bool,
        /// What stands against its wholeness, if anything.
        pub flaw: Option<NotWholeReason>,
    }
}
