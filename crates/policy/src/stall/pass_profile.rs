use celeryhaven_derives::state;

/// Passes that a full batch may take without an event before a replica counts as quiet.
const PASSES_MIN: f64 = 1.5;

/// Passes until the first event of a second attempt, beside its prefill; also the initial threshold.
const PASSES_TO_EVENT: f64 = 2.0;

/// Time of a second attempt for the connection, the way to the caller and delays of this node, in
/// milliseconds.
const TRANSIT_MS: f64 = 25.0;

/// Shortest threshold, in milliseconds: a node with a small part of a core reads events late.
const THRESHOLD_MIN_MS: f64 = 50.0;

state! {
    /// Times of the passes of a replica, by the profile of its engine, in milliseconds.
    #[derive(Copy)]
    pub struct PassProfile {
        /// Pass with a full batch.
        pub full_ms: f64,
        /// Pass with a single request.
        pub idle_ms: f64,
        /// Longest prefill step, which lengthens a pass.
        pub prefill_ms: f64,
    }
}

impl PassProfile {
    /// Returns the shortest silence after which a replica may count as quiet.
    pub(super) fn threshold_min_ms(self) -> f64 {
        (self.full_ms * PASSES_MIN).max(THRESHOLD_MIN_MS)
    }

    /// Returns the threshold until the passes of the replica are known.
    pub(super) fn initial_threshold_ms(self) -> f64 {
        self.full_ms * PASSES_TO_EVENT + self.prefill_ms
    }

    /// Returns the expected time from the start of a second attempt to its event at the caller.
    pub(super) fn second_attempt_ms(self) -> f64 {
        self.full_ms * PASSES_TO_EVENT + self.prefill_ms + TRANSIT_MS
    }

    /// Returns the time within which events belong to one pass.
    pub(super) fn same_pass_ms(self) -> f64 {
        self.idle_ms / 2.0
    }
}
