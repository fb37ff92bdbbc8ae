use celeryhaven_types::TimeMs;

/// Token units per claim: one claim per second refills one unit per millisecond.
const UNITS_PER_CLAIM: u64 = 1_000;

/// A token bucket that limits claims per second, with a burst of one second's claims.
///
/// Keeps a caller that sends many distinct keys from consuming the write capacity of the Object API
/// that placements and leases need.
#[derive(Clone, Debug)]
pub(crate) struct RateLimit {
    per_second: u64,
    level: u64,
    refilled_at: TimeMs,
}

impl RateLimit {
    /// Creates a full bucket.
    pub(crate) const fn new(per_second: u32) -> Self {
        let per_second = per_second as u64;
        Self { per_second, level: per_second * UNITS_PER_CLAIM, refilled_at: TimeMs::new(0) }
    }

    /// Consumes the units of one claim; returns whether enough were available.
    pub(crate) fn take(&mut self, now: TimeMs) -> bool {
        let refilled = now.since(self.refilled_at).saturating_mul(self.per_second);
        self.refilled_at = now;
        self.level = self.level.saturating_add(refilled).min(self.per_second * UNITS_PER_CLAIM);
        let is_allowed = self.level >= UNITS_PER_CLAIM;
        self.level -= if is_allowed { UNITS_PER_CLAIM } else { 0 };
        is_allowed
    }
}
