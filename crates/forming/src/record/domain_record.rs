use celeryhaven_derives::data;
use celeryhaven_types::{Generation, ModelName, NodeName, ReplicaName, VmName};

data! {
    /// The replicas planned by the coordinators of one domain.
    ///
    /// The record is written with a compare-and-swap before any target receives an order of the
    /// plan, so that two coordinators cannot both plan from the same record.
    #[derive(Default)]
    #[serde(default)]
    pub struct DomainRecord {
        /// The node that wrote the record last.
        pub decider: Option<NodeName>,
        /// Whether callers were served when the record was written.
        pub serves_callers: bool,
        /// Planned replicas that may still exist.
        pub replicas: Vec<PlannedReplica>,
    }

    /// A planned replica.
    pub struct PlannedReplica {
        /// The name of the replica. A name is never reused for another list of members.
        pub replica: ReplicaName,
        /// The generation, or `None` if it is the version of the write that added the plan.
        pub generation: Option<Generation>,
        /// The model that the replica serves.
        pub model: ModelName,
        /// The members, the head first.
        pub members: Vec<VmName>,
    }
}

impl DomainRecord {
    /// Sets the version at which the record was read as the generation of plans that have none.
    pub fn with_version(mut self, version: Generation) -> Self {
        for planned in &mut self.replicas {
            planned.generation.get_or_insert(version);
        }
        self
    }
}
