use std::collections::BTreeMap;

use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

use crate::RequestDigest;

/// Standings of all requests that are suspected or quarantined.
pub type Standings = BTreeMap<RequestDigest, Standing>;

state! {
    /// How a request that was running when targets ended is treated.
    #[derive(Copy, Eq)]
    pub enum Standing {
        /// It is sent to targets; its completion must be reported.
        Suspected,
        /// It is refused.
        Quarantined {
            /// When one node may claim a trial; `None` if there are no more trials.
            trial_at: Option<TimeMs>,
        },
    }
}

impl Standing {
    /// Whether the request is refused.
    pub const fn is_quarantined(self) -> bool {
        matches!(self, Self::Quarantined { .. })
    }
}
