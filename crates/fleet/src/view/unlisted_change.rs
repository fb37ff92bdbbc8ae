use celeryhaven_derives::state;
use celeryhaven_types::{TimeMs, VmName};

use crate::view::UnlistedTarget;

state! {
    /// A target has become unlisted, or is no longer.
    #[derive(Eq)]
    pub struct UnlistedChange {
        /// The target.
        pub target: VmName,
        /// The evidence at the time of the change.
        pub evidence: UnlistedTarget,
        /// Why it is no longer unlisted; `None` if it has become unlisted.
        pub end: Option<UnlistedEnd>,
        /// Time of the change.
        pub at: TimeMs,
    }

    /// Why a target is no longer unlisted.
    #[derive(Copy, Eq)]
    pub enum UnlistedEnd {
        /// Its entry has returned.
        Listed,
        /// The entry of a later process of the same name was written.
        Restarted,
        /// It is leaving.
        Leaving,
        /// No connection to it is possible.
        Unreachable,
        /// Its replica is no longer whole, for another reason.
        ReplicaNotWhole,
        /// It has given no answer.
        Unanswered,
    }
}

impl UnlistedEnd {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Listed => "listed again",
            Self::Restarted => "restarted",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
            Self::ReplicaNotWhole => "replica not whole",
            Self::Unanswered => "no answer",
        }
    }
}
