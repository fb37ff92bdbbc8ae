use celeryhaven_derives::state;
use celeryhaven_types::{Boot, TimeMs, VmName};

state! {
    /// Whether a replica is whole, and until when that holds without further reports.
    #[derive(Eq)]
    pub enum Assessment {
        /// Fresh reports of every member agree.
        Whole {
            /// Boot of every member in rank order.
            boots: Vec<Boot>,
            /// When the oldest of these reports is too old.
            until: TimeMs,
        },
        /// The replica may take no request.
        NotWhole {
            /// The first member in rank order that stands against it.
            vm: VmName,
            /// What is wrong with it.
            reason: NotWholeReason,
        },
    }

    /// What stands against a member.
    #[derive(Copy, Eq, Hash)]
    pub enum NotWholeReason {
        /// No report since the last failure, or none at all.
        NoReport,
        /// The last report is older than a report may be.
        ReportExpired,
        /// It reports no formation, or another replica or generation.
        OtherFormation,
        /// It has not loaded or joined yet.
        NotReady,
        /// Its boots of the members differ from what the members report.
        BootMismatch,
    }
}

impl Assessment {
    /// Whether the replica is whole.
    pub const fn is_whole(&self) -> bool {
        matches!(self, Self::Whole { .. })
    }

    /// Until when the replica is whole without further reports; `None` if it is not whole.
    pub const fn until(&self) -> Option<TimeMs> {
        match self {
            Self::Whole { until, .. } => Some(*until),
            Self::NotWhole { .. } => None,
        }
    }
}
