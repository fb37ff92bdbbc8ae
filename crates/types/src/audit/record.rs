use celeryhaven_derives::data;

use crate::audit::PlanId;
use crate::config::ConfigNumber;
use crate::names::{NodeName, OperatorName, VmName};

data! {
    /// An accepted change of the configuration.
    ///
    /// The record is part of the configuration that the change produced, and is copied to
    /// `audit/<number>` before the next change is written.
    #[serde(deny_unknown_fields)]
    pub struct ChangeRecord {
        /// The configuration that the change produced.
        pub number: ConfigNumber,
        /// The configuration that the change replaced.
        pub from_number: ConfigNumber,
        /// The operator who confirmed the change, as named in their certificate.
        pub operator: OperatorName,
        /// Time of the change by the writing node's clock, in milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
        /// Kind of the change.
        pub change: Change,
        /// Human-readable summary, one line for each difference.
        pub summary: Vec<String>,
    }

    /// Kind of a configuration change.
    #[serde(rename_all = "snake_case")]
    pub enum Change {
        /// The first configuration of an empty store.
        Initial,
        /// A confirmed plan.
        Plan {
            /// The plan.
            plan: PlanId,
        },
        /// The drain of a target VM started or ended.
        DrainVm {
            /// The VM.
            vm: VmName,
            /// Whether the drain started; `false` if it ended.
            drained: bool,
        },
        /// The drain of an entry VM started or ended.
        DrainNode {
            /// The node.
            node: NodeName,
            /// Whether the drain started; `false` if it ended.
            drained: bool,
        },
    }
}
