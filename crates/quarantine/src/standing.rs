use std::collections::BTreeMap;

use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

use crate::CauseDigest;

/// Standings of all causes that are suspected or quarantined.
pub type Standings = BTreeMap<CauseDigest, Standing>;

state! {
    /// How the requests are treated that hold what was running when targets ended.
    #[derive(Copy, Eq)]
    pub enum Standing {
        /// They are sent to targets; their completion must be reported.
        Suspected,
        /// They are refused.
        Quarantined {
            /// When one node may claim a trial; `None` if there are no more trials.
            trial_at: Option<TimeMs>,
        },
    }
}

impl Standing {
    /// Whether the requests are refused.
    pub const fn is_quarantined(self) -> bool {
        matches!(self, Self::Quarantined { .. })
    }
}
