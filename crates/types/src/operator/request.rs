use celeryhaven_derives::data;

use crate::audit::PlanId;
use crate::config::Intent;
use crate::names::{DataCentreName, NodeName, VmName};

data! {
    /// An operator's request to a controller, which takes the operator's name from its certificate.
    #[serde(rename_all = "snake_case")]
    pub enum OperatorRequest {
        /// Computes what an intent would change, without changing anything.
        Plan {
            /// The intent.
            intent: Intent,
        },
        /// Puts a plan in force.
        Confirm {
            /// The plan.
            plan: PlanId,
            /// Data centres whose status need not be recent.
            without: Vec<DataCentreName>,
        },
        /// Returns placements, leases and the configuration in force.
        Status,
        /// Returns the audit trail.
        Audit {
            /// Number of changes to return, newest first.
            last: u32,
        },
        /// Starts or ends the drain of a target VM.
        DrainVm {
            /// The VM.
            vm: VmName,
            /// Whether to start the drain; `false` ends it.
            drained: bool,
        },
        /// Starts or ends the drain of an entry VM.
        DrainNode {
            /// The node.
            node: NodeName,
            /// Whether to start the drain; `false` ends it.
            drained: bool,
        },
    }
}
