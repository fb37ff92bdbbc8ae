use std::fmt;

use celeryhaven_derives::data;

use crate::audit::PlanId;
use crate::config::ConfigNumber;
use crate::names::{DataCentreName, NodeName, OperatorName, VmName};

data! {
    /// Reason why an operator request was refused.
    ///
    /// The `Display` text tells the operator what to do next.
    ///
    /// ```
    /// use celeryhaven_types::{OperatorRefusal, PlanId};
    /// let refusal = OperatorRefusal::UnknownPlan { plan: PlanId::new("9f3a") };
    /// assert_eq!(refusal.code(), "unknown_plan");
    /// assert!(refusal.to_string().contains("make it again"));
    /// ```
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum OperatorRefusal {
        /// The intent is invalid.
        BadIntent {
            /// Description of each problem, as one line.
            problems: Vec<String>,
        },
        /// No plan has this identifier.
        UnknownPlan {
            /// The requested plan.
            plan: PlanId,
        },
        /// The configuration has changed since the plan was made; nothing changed now.
        Conflict {
            /// The configuration from which the plan was made.
            base: ConfigNumber,
            /// The configuration in force.
            current: ConfigNumber,
            /// The operator who confirmed the configuration in force.
            by: OperatorName,
        },
        /// The plan was confirmed earlier; nothing changed now.
        AlreadyConfirmed {
            /// The plan.
            plan: PlanId,
            /// The configuration that the plan produced.
            number: ConfigNumber,
            /// The operator who confirmed it.
            by: OperatorName,
        },
        /// Some data centres have no recent status, so the change may not take effect there within
        /// seconds; nothing changed.
        OldStatus {
            /// Data centres without a recent status.
            data_centres: Vec<DataCentreName>,
        },
        /// The VM list has no such target VM.
        UnknownVm {
            /// The requested VM.
            vm: VmName,
        },
        /// The VM list has no such entry VM.
        UnknownNode {
            /// The requested node.
            node: NodeName,
        },
        /// The requested state is already in force.
        NothingToChange,
        /// No configuration has been accepted yet.
        NoConfig,
        /// The Object API is unavailable or rejected the call; nothing changed.
        StoreUnavailable,
        /// The Object API did not answer; the change may have taken effect or may still do so.
        OutcomeUnknown,
    }
}

impl OperatorRefusal {
    /// Returns the code that scripts match.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::BadIntent { .. } => "bad_intent",
            Self::UnknownPlan { .. } => "unknown_plan",
            Self::Conflict { .. } => "conflict",
            Self::AlreadyConfirmed { .. } => "already_confirmed",
            Self::OldStatus { .. } => "old_status",
            Self::UnknownVm { .. } => "unknown_vm",
            Self::UnknownNode { .. } => "unknown_node",
            Self::NothingToChange => "nothing_to_change",
            Self::NoConfig => "no_config",
            Self::StoreUnavailable => "store_unavailable",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }
}

impl fmt::Display for OperatorRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadIntent { problems } => {
                write!(
                    f,
                    "the intent is refused: {}; correct it and plan again",
                    problems.join("; ")
                )
            }
            Self::UnknownPlan { plan } => {
                write!(f, "there is no plan {plan}; make it again with `plan`")
            }
            Self::Conflict { base, current, by } => write!(
                f,
                "nothing changed: the plan was made from configuration {base}, and {by} has put \
                 {current} in force since; look at `audit` and plan again"
            ),
            Self::AlreadyConfirmed { plan, number, by } => write!(
                f,
                "nothing changed: plan {plan} was confirmed before by {by} and made configuration \
                 {number}"
            ),
            Self::OldStatus { data_centres } => {
                let names: Vec<&str> = data_centres.iter().map(DataCentreName::as_str).collect();
                write!(
                    f,
                    "nothing changed: no fresh status from {}; the change would not be in force \
                     there within seconds; confirm with `--without` for each if that is meant",
                    names.join(", ")
                )
            }
            Self::UnknownVm { vm } => {
                write!(f, "the VM list has no target VM {vm}; look for its name in `status`")
            }
            Self::UnknownNode { node } => {
                write!(f, "the VM list has no entry VM {node}; look for its name in `status`")
            }
            Self::NothingToChange => write!(f, "nothing changed: it is so already"),
            Self::NoConfig => {
                write!(f, "there is no configuration yet; plan and confirm an intent first")
            }
            Self::StoreUnavailable => {
                write!(f, "nothing changed: the Object API did not carry it out; try again")
            }
            Self::OutcomeUnknown => write!(
                f,
                "the Object API did not answer: the change may or may not be in force; look at \
                 `audit` before trying again"
            ),
        }
    }
}
