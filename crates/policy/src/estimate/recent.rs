use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

/// Time after which a sample has lost most of its weight, in milliseconds.
const MEMORY_MS: f64 = 2_000.0;

/// Least and greatest weight of a new sample.
///
/// Load: samples that come in a burst, or seconds apart. Harm: by time alone a burst would count as
/// one sample, and one after a pause would be the whole mean though it is of one target. Limit: some
/// sixteen samples of a burst, some three of those far apart.
const WEIGHT_MIN: f64 = 1.0 / 16.0;
const WEIGHT_MAX: f64 = 1.0 / 3.0;

state! {
    /// A mean of the last seconds, however many samples they have.
    #[derive(Copy)]
    pub(crate) struct Recent {
        value: f64,
        at: TimeMs,
    }
}

impl Recent {
    /// Starts from a value that the first samples soon outweigh.
    pub(crate) fn new(prior: f64) -> Self {
        Self { value: prior, at: TimeMs::new(0) }
    }

    pub(crate) fn add(&mut self, now: TimeMs, sample: f64) {
        let faded = 1.0 - (-(now.since(self.at) as f64) / MEMORY_MS).exp();
        let weight = faded.clamp(WEIGHT_MIN, WEIGHT_MAX);
        self.value += (sample - self.value) * weight;
        self.at = now;
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}
