use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;
use rand::Rng;

/// Bounds of the retry time given to a refused caller.
///
/// Too soon, callers are refused again; too late, slots stand idle. Beyond a minute the estimate
/// says nothing.
const RETRY_AFTER_MIN_MS: u64 = 250;
const RETRY_AFTER_MAX_MS: u64 = 60_000;

state! {
    /// Assigns retry times to refused callers.
    ///
    /// Thousands of callers refused within a second would return together if all had the same retry
    /// time. Each refusal is therefore scheduled behind the queue and the earlier refusals, by its
    /// own cost, with random jitter.
    #[derive(Copy)]
    pub(crate) struct RetrySchedule {
        scheduled_until: TimeMs,
    }
}

impl RetrySchedule {
    pub(crate) fn new() -> Self {
        Self { scheduled_until: TimeMs::new(0) }
    }

    /// Returns the milliseconds after which the caller should retry.
    pub(crate) fn next_retry_after_ms(
        &mut self,
        now: TimeMs,
        drain_ms: f64,
        cost_ms: f64,
        rng: &mut impl Rng,
    ) -> u64 {
        let earliest = now.after(drain_ms as u64);
        let latest = now.after(RETRY_AFTER_MAX_MS);
        self.scheduled_until = self.scheduled_until.max(earliest).after(cost_ms as u64).min(latest);
        let delay_ms = self.scheduled_until.since(now).max(RETRY_AFTER_MIN_MS);
        let jitter_ms = delay_ms / 4;
        delay_ms + rng.random_range(0..=jitter_ms.max(RETRY_AFTER_MIN_MS))
    }
}
