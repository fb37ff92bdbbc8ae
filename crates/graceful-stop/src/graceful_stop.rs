use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

/// Time after the signal during which a request may begin that is only expected to end in time, in
/// milliseconds.
///
/// Later ones must end by their deadlines: whatever their targets do, they are not cut.
const EXPECTED_MS: u64 = 2_900;

/// Time for the last bytes of an answer to reach its caller, in milliseconds.
const LAST_BYTES_MS: u64 = 100;

/// Part of the time that a caller allows which an answer is expected to take if nothing is known of
/// such answers, as a divisor.
const UNKNOWN_DIVISOR: u64 = 2;

state! {
    /// A request that is about to begin.
    #[derive(Copy, Eq)]
    pub struct PendingRequest {
        /// When it was received.
        pub received_at: TimeMs,
        /// When its caller gives up.
        pub deadline: TimeMs,
        /// How long such answers take; `None` if that is not known.
        pub expected_ms: Option<u64>,
        /// Whether its caller may send it again after it may have run.
        pub may_repeat: bool,
    }
}

/// A stop that has been asked for.
///
/// Load that it answers: callers that keep the address of a node for seconds after it was told to stop.
///
/// ```
/// use celeryhaven_graceful_stop::{GracefulStop, PendingRequest};
/// use celeryhaven_types::TimeMs;
/// let stop = GracefulStop::new(TimeMs::new(0), TimeMs::new(7_700));
/// let now = TimeMs::new(2_000);
/// let request = |expected_ms| PendingRequest {
///     received_at: now,
///     deadline: now.after(8_000),
///     expected_ms: Some(expected_ms),
///     may_repeat: true,
/// };
/// assert!(stop.may_begin(now, &request(5_000)));
/// assert!(!stop.may_begin(now, &request(6_000)));
/// // Its caller could not send it elsewhere if it took longer than such answers do.
/// assert!(!stop.may_begin(now, &PendingRequest { may_repeat: false, ..request(5_000) }));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracefulStop {
    asked_at: TimeMs,
    exits_at: TimeMs,
}

impl GracefulStop {
    /// Creates a stop that was asked for at `asked_at` at the earliest and ends all that still runs at
    /// `exits_at`.
    pub const fn new(asked_at: TimeMs, exits_at: TimeMs) -> Self {
        Self { asked_at, exits_at }
    }

    /// Whether a request can be expected to end before the process does; one that may not be repeated
    /// must end by its deadline.
    pub fn may_begin(&self, now: TimeMs, request: &PendingRequest) -> bool {
        let ends_by = self.final_answers_at();
        if request.deadline <= ends_by {
            return true;
        }
        if !request.may_repeat {
            return false;
        }
        if request.received_at.since(self.asked_at) > EXPECTED_MS {
            return false;
        }
        let allowed_ms = request.deadline.since(now);
        let expected_ms = request.expected_ms.unwrap_or(allowed_ms / UNKNOWN_DIVISOR);
        now.after(expected_ms) <= ends_by
    }

    /// Returns when the callers whose answers have not begun are told that none will come.
    pub const fn final_answers_at(&self) -> TimeMs {
        self.exits_at.before(LAST_BYTES_MS)
    }

    /// Returns the time until all that runs is cut, in milliseconds.
    pub fn left_ms(&self, now: TimeMs) -> u64 {
        self.exits_at.since(now)
    }
}
