use celeryhaven_derives::data;
use celeryhaven_types::{Generation, ModelName, NodeName, ReplicaName, VmName};

data! {
    /// What the deciders of one domain have planned.
    ///
    /// Written under the condition that it is as it was read, before any target hears of a plan:
    /// two deciders cannot both plan from the same record.
    #[derive(Default)]
    #[serde(default)]
    pub struct DomainRecord {
        /// Who wrote it last.
        pub decider: Option<NodeName>,
        /// Whether callers were served when it was written.
        pub serves_callers: bool,
        /// Planned replicas that may still exist.
        pub replicas: Vec<PlannedReplica>,
    }

    /// One planned replica.
    pub struct PlannedReplica {
        /// Its name, never used for another list of members.
        pub replica: ReplicaName,
        /// Its generation; `None` if that is the version of the write which planned it.
        pub generation: Option<Generation>,
        /// The model that it serves.
        pub model: ModelName,
        /// Its members, the head first.
        pub members: Vec<VmName>,
    }
}

impl DomainRecord {
    /// The record as read at a version, with that version filled in where it is the generation.
    pub fn with_version(mut self, version: Generation) -> Self {
        for planned in &mut self.replicas {
            planned.generation.get_or_insert(version);
        }
        self
    }
}
