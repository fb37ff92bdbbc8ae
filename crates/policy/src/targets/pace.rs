use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

/// Requests that may be sent at once, as the time in which the rate allows them, in seconds.
const BURST_S: f64 = 0.2;

/// Time in which the rate doubles after the end of a limit, and the time until it no longer holds,
/// in milliseconds.
///
/// If all nodes returned at once, they would overload a target that has just recovered.
const RECOVERY_DOUBLING_MS: f64 = 1_000.0;
const RECOVERY_MS: u64 = 5_000;

/// Interval between two checks of a pace whose rate grows, in milliseconds.
const RECOVERY_CHECK_MS: f64 = 250.0;

state! {
    /// Limits how often a node sends to one target.
    #[derive(Copy)]
    pub(crate) struct Pace {
        rate_per_s: f64,
        tokens: f64,
        updated_at: TimeMs,
        /// When the target's limit ended.
        recovers_since: Option<TimeMs>,
    }
}

impl Pace {
    /// Creates a pace without tokens; a random `phase` from 0 to 1 delays the first one, so that
    /// several nodes do not send at the same time.
    pub(crate) fn new(now: TimeMs, rate_per_s: f64, phase: f64) -> Self {
        Self { rate_per_s, tokens: -phase, updated_at: now, recovers_since: None }
    }

    /// Returns the rate of a target that names a limit.
    pub(crate) fn limited_rate_per_s(&self) -> Option<f64> {
        self.recovers_since.is_none().then_some(self.rate_per_s)
    }

    /// Changes the rate of a target that names a limit.
    pub(crate) fn set_rate(&mut self, now: TimeMs, rate_per_s: f64) {
        *self = Self { tokens: self.tokens_at(now), updated_at: now, rate_per_s, ..*self };
        self.recovers_since = None;
    }

    /// Ends the limit: the rate grows from at least `rate_min_per_s` until it no longer holds.
    pub(crate) fn recover(&mut self, now: TimeMs, rate_min_per_s: f64) {
        self.set_rate(now, self.rate_per_s.max(rate_min_per_s));
        self.recovers_since = Some(now);
    }

    /// Whether the pace no longer holds.
    pub(crate) fn is_over(&self, now: TimeMs) -> bool {
        self.recovers_since.is_some_and(|since| now.since(since) >= RECOVERY_MS)
    }

    /// Whether a request may be sent now.
    pub(crate) fn may_send(&self, now: TimeMs) -> bool {
        self.is_over(now) || self.tokens_at(now) >= 1.0
    }

    pub(crate) fn record_sent(&mut self, now: TimeMs) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.updated_at = now;
    }

    /// Returns when a request may be sent, or `None` if that is now or never.
    pub(crate) fn next_send_at(&self, now: TimeMs) -> Option<TimeMs> {
        let rate_per_s = self.rate_at(now);
        if self.may_send(now) || rate_per_s <= 0.0 {
            return None;
        }
        let wait_ms = (1.0 - self.tokens_at(now)) / rate_per_s * 1_000.0;
        // At the rate of this moment, a node of a large fleet would wait for minutes.
        let wait_ms = match self.recovers_since {
            Some(_) => wait_ms.min(RECOVERY_CHECK_MS),
            None => wait_ms,
        };
        Some(now.after(wait_ms.ceil().max(1.0) as u64))
    }

    fn tokens_at(&self, now: TimeMs) -> f64 {
        let rate_per_s = self.rate_at(now);
        let earned = now.since(self.updated_at) as f64 / 1_000.0 * rate_per_s;
        (self.tokens + earned).min((rate_per_s * BURST_S).max(1.0))
    }

    fn rate_at(&self, now: TimeMs) -> f64 {
        let doublings =
            self.recovers_since.map_or(0.0, |since| now.since(since) as f64 / RECOVERY_DOUBLING_MS);
        self.rate_per_s * doublings.exp2()
    }
}
