use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

/// Time constant of the decay, in milliseconds.
const DECAY_TIME_MS: f64 = 2_000.0;

/// Bounds of the weight of a new sample: a burst counts for more than one sample, and a sample
/// after a pause does not replace the mean.
const WEIGHT_MIN: f64 = 1.0 / 16.0;
const WEIGHT_MAX: f64 = 1.0 / 3.0;

state! {
    /// Mean over the last few seconds, independent of the sampling rate.
    #[derive(Copy)]
    pub(crate) struct RecentMean {
        value: f64,
        updated_at: TimeMs,
    }
}

impl RecentMean {
    /// Creates a mean from an initial value.
    pub(crate) fn new(prior: f64) -> Self {
        Self { value: prior, updated_at: TimeMs::new(0) }
    }

    pub(crate) fn add(&mut self, now: TimeMs, sample: f64) {
        let decayed = 1.0 - (-(now.since(self.updated_at) as f64) / DECAY_TIME_MS).exp();
        let weight = decayed.clamp(WEIGHT_MIN, WEIGHT_MAX);
        self.value += (sample - self.value) * weight;
        self.updated_at = now;
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}
