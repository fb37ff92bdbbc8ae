use celeryhaven_derives::state;
use celeryhaven_types::{Priority, TimeMs};

use crate::FlowKey;

state! {
    /// An entry of the queue.
    #[derive(Copy, Eq)]
    pub struct QueueEntry {
        /// The flow whose share is charged.
        pub flow: FlowKey,
        /// Estimated slot time, in milliseconds.
        pub cost_ms: u64,
        /// Latest time at which service can start and still be in time.
        pub latest_start: TimeMs,
        /// Urgency within the flow.
        pub priority: Priority,
        /// Worth of an answer in time.
        pub worth: u32,
        /// Strict class of a [`TieredQueue`](crate::TieredQueue), the least first; a
        /// [`FairQueue`](crate::FairQueue) ignores it.
        pub tier: u8,
    }
}

/// Each priority step counts as this much less time left. A bounded lead, unlike strict priority,
/// does not let a steady stream of urgent entries starve the rest.
const PRIORITY_STEP_MS: u64 = 2_000;

impl QueueEntry {
    /// Order within the flow, least first; it is constant while the entry waits.
    pub(crate) fn sort_key(&self) -> u64 {
        let lead_ms = u64::from(self.priority.get()).saturating_mul(PRIORITY_STEP_MS);
        self.latest_start.get().saturating_sub(lead_ms)
    }

    /// Worth per second of slot time, in thousandths.
    pub(crate) fn density(&self) -> u64 {
        u64::from(self.worth).saturating_mul(1_000_000) / self.cost_ms.max(1)
    }
}
