use std::time::Instant;

/// Rate limits of the store.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Reads, lists and watches per second.
    pub reads_per_s: u32,
    /// Writes and deletions per second.
    pub writes_per_s: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { reads_per_s: 2_000, writes_per_s: 300 }
    }
}

/// A token bucket with a capacity of one second's tokens.
#[derive(Debug)]
pub struct TokenBucket {
    per_s: f64,
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(per_s: u32, now: Instant) -> Self {
        Self { per_s: f64::from(per_s), tokens: f64::from(per_s), filled: now }
    }

    /// Takes a token. Returns `false` if there is none.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed_s = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(self.per_s);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
