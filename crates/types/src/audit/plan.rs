use celeryhaven_derives::{data, name};

use crate::config::{ConfigNumber, Intent};
use crate::names::{DeploymentName, OperatorName, OrganisationName, ReplicaName};

name! {
    /// Identifier of a plan, derived from its content and base.
    PlanId
}

data! {
    /// Effects of putting an intent in force, stored at `plans/<id>`.
    #[serde(deny_unknown_fields)]
    pub struct Plan {
        /// Identifier, derived from the base and the intent.
        pub id: PlanId,
        /// The configuration from which the plan was made; confirming it on another is a conflict.
        pub base: ConfigNumber,
        /// The operator who requested the plan.
        pub operator: OperatorName,
        /// The intent to put in force.
        pub intent: Intent,
        /// Effects of the plan, in the order in which they would happen.
        pub effects: Vec<PlanEffect>,
    }

    /// One effect of a plan.
    #[serde(rename_all = "snake_case")]
    pub enum PlanEffect {
        /// New replicas are formed.
        Form {
            /// The deployment.
            deployment: DeploymentName,
            /// Number of new replicas.
            replicas: u32,
        },
        /// A replica stops after it has completed its requests.
        Stop {
            /// The replica.
            replica: ReplicaName,
            /// The deployment.
            deployment: DeploymentName,
            /// Organisations whose requests the replica currently serves.
            organisations: Vec<OrganisationName>,
        },
        /// A replica is replaced by one of another version or shape.
        Replace {
            /// The replica.
            replica: ReplicaName,
            /// The deployment.
            deployment: DeploymentName,
            /// Organisations whose requests the replica currently serves.
            organisations: Vec<OrganisationName>,
        },
        /// The free VMs do not suffice for all desired replicas.
        Short {
            /// The deployment.
            deployment: DeploymentName,
            /// Number of replicas that cannot currently be formed.
            replicas: u32,
        },
        /// A setting changes without stopping a replica.
        Set {
            /// Description of the change, as one line.
            what: String,
        },
    }
}
