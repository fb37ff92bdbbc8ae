use celeryhaven_types::TimeMs;

/// Weight of the newest measurement.
const WEIGHT: f64 = 0.125;

/// Part of the caller's time that is expected while no time has been measured, as a divisor.
const UNKNOWN_DIVISOR: u64 = 4;

/// How long a complete long body is held, as measured.
#[derive(Clone, Debug, Default)]
pub(crate) struct HoldTime {
    mean_ms: Option<f64>,
}

impl HoldTime {
    /// Records that a body was held from `since` until now.
    pub(crate) fn record(&mut self, now: TimeMs, since: TimeMs) {
        let held_ms = now.since(since) as f64;
        let mean_ms = self.mean_ms.unwrap_or(held_ms);
        self.mean_ms = Some(mean_ms + WEIGHT * (held_ms - mean_ms));
    }

    /// Returns the expected time, in milliseconds.
    ///
    /// Until one has been measured, a part of the time that the caller of the body allows is expected.
    pub(crate) fn expected_ms(&self, allowed_ms: u64) -> u64 {
        self.mean_ms.map_or(allowed_ms / UNKNOWN_DIVISOR, |mean_ms| mean_ms as u64)
    }

    /// Returns the expected time until a body is released that is held since `since`.
    pub(crate) fn left_ms(&self, now: TimeMs, since: TimeMs, deadline: TimeMs) -> u64 {
        let expected_ms = self.expected_ms(deadline.since(since));
        // One that is overdue may be released at any time.
        expected_ms.saturating_sub(now.since(since)).max(expected_ms / 8)
    }
}
