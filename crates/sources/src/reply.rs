use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

state! {
    /// What a successful poll has brought.
    #[derive(Copy, Eq)]
    pub struct Reply {
        /// Earliest time at which the store can have held what the reply says.
        pub confirmed_at: TimeMs,
        /// Whether the reply contains objects that this node did not know.
        pub has_changes: bool,
        /// Pause before the next poll, in milliseconds, so that changes in quick succession are
        /// fetched together.
        pub pause_ms: u64,
    }
}
