use celeryhaven_types::TimeMs;

/// Exponential backoff between connection attempts to an address.
///
/// Limits handshake traffic while a node or a whole data centre is unreachable.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backoff {
    failures: u32,
    until: TimeMs,
}

impl Backoff {
    /// Delay after the first failure, in milliseconds.
    pub const INITIAL_DELAY_MS: u64 = 100;
    /// Maximum delay, in milliseconds.
    pub const DELAY_MS_MAX: u64 = 3_200;

    /// Records a failed attempt and extends the delay.
    ///
    /// ```
    /// use celeryhaven_link::pool::Backoff;
    /// use celeryhaven_types::TimeMs;
    /// let mut backoff = Backoff::default();
    /// backoff.record_failure(TimeMs::new(0));
    /// assert_eq!(backoff.remaining_ms(TimeMs::new(40)), 60);
    /// backoff.record_success();
    /// assert_eq!(backoff.remaining_ms(TimeMs::new(40)), 0);
    /// ```
    pub fn record_failure(&mut self, now: TimeMs) {
        let delay_ms = (Self::INITIAL_DELAY_MS << self.failures.min(16)).min(Self::DELAY_MS_MAX);
        self.failures = self.failures.saturating_add(1);
        self.until = now.after(delay_ms);
    }

    /// Records a successful attempt and resets the delay.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Returns the time until the next permitted attempt, in milliseconds.
    pub fn remaining_ms(&self, now: TimeMs) -> u64 {
        self.until.since(now)
    }
}
