use celeryhaven_derives::state;

use crate::Evidence;

state! {
    /// What is known of the end of a target.
    #[derive(Copy, Eq)]
    pub enum EndVerdict {
        /// It has ended.
        Ended(Evidence),
        /// It goes on, or nothing shows in time that it has ended.
        NotEnded(Evidence),
        /// Not known yet; another verdict follows.
        Unsettled,
    }
}

impl EndVerdict {
    /// Whether no other verdict follows.
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::Unsettled)
    }

    /// Whether it is an end that only refused connections have shown.
    pub(crate) const fn is_by_refusal(self) -> bool {
        matches!(self, Self::Ended(Evidence::Refused | Evidence::RefusedToPeer))
    }

    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ended(_) => "ended",
            Self::NotEnded(_) => "not ended",
            Self::Unsettled => "unsettled",
        }
    }

    /// Returns the evidence for it.
    pub const fn evidence(self) -> Evidence {
        match self {
            Self::Ended(evidence) | Self::NotEnded(evidence) => evidence,
            Self::Unsettled => Evidence::Nothing,
        }
    }
}
