use celeryhaven_derives::state;
use celeryhaven_types::{Boot, TimeMs, VmName};

state! {
    /// Whether a replica is whole.
    #[derive(Eq)]
    pub enum Assessment {
        /// Fresh reports of all members agree.
        Whole {
            /// Boots of all members in rank order.
            boots: Vec<Boot>,
            /// When the oldest of the reports expires.
            until: TimeMs,
        },
        /// The replica may take no request.
        NotWhole {
            /// The member that prevents it.
            vm: VmName,
            /// Why that member prevents it.
            reason: NotWholeReason,
        },
    }

    /// Why a member prevents its replica from being whole.
    #[derive(Copy, Eq, Hash)]
    pub enum NotWholeReason {
        /// It has not reported since its report was last discarded, if ever.
        NoReport,
        /// Its last report has expired.
        ReportExpired,
        /// It reports no formation, or another replica or generation.
        OtherFormation,
        /// It reports that it is not ready.
        NotReady,
        /// The boots that it joined with differ from those that the members report.
        BootMismatch,
    }
}

impl Assessment {
    /// Whether the replica is whole.
    pub const fn is_whole(&self) -> bool {
        matches!(self, Self::Whole { .. })
    }

    /// Returns when the assessment expires without further reports; `None` if not whole.
    pub const fn until(&self) -> Option<TimeMs> {
        match self {
            Self::Whole { until, .. } => Some(*until),
            Self::NotWhole { .. } => None,
        }
    }
}
