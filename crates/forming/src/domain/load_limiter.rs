use celeryhaven_types::TimeMs;

/// Token bucket for loads from the weights store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadLimiter {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: TimeMs,
}

impl LoadLimiter {
    /// Starts half full, because the loads started by the previous coordinator are unknown.
    pub(crate) fn new(now: TimeMs, rate_per_s: f64, burst: f64) -> Self {
        Self { rate_per_s, burst, tokens: burst / 2.0, refilled_at: now }
    }

    pub(crate) fn set_rate(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s;
    }

    pub(crate) const fn tokens(&self) -> f64 {
        self.tokens
    }

    pub(crate) fn try_acquire(&mut self, now: TimeMs, loads: usize) -> bool {
        let refill = now.since(self.refilled_at) as f64 * self.rate_per_s / 1_000.0;
        self.tokens = (self.tokens + refill).min(self.burst);
        self.refilled_at = now;
        let enough = self.tokens >= loads as f64;
        if enough {
            self.tokens -= loads as f64;
        }
        enough
    }
}
