use celeryhaven_derives::state;

state! {
    /// Exponentially weighted mean and mean deviation.
    #[derive(Copy)]
    pub(crate) struct Mean {
        value: f64,
        deviation: f64,
        samples: u32,
    }
}

/// Number of samples after which the weight of a new sample no longer decreases.
///
/// After a step change, half of it is learned within some 45 samples, and one outlier moves the
/// mean by less than 2 %.
const WINDOW_SAMPLES: u32 = 64;

/// Weight of the initial value, in samples.
const PRIOR_SAMPLES: u32 = 8;

impl Mean {
    /// Creates a mean from a configured initial value.
    pub(crate) fn new(prior: f64) -> Self {
        Self { value: prior, deviation: prior / 4.0, samples: PRIOR_SAMPLES }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1).min(WINDOW_SAMPLES);
        let weight = 1.0 / f64::from(self.samples);
        let error = sample - self.value;
        self.value += error * weight;
        self.deviation += (error.abs() - self.deviation) * weight;
    }

    pub(crate) fn has_samples(&self) -> bool {
        self.samples > PRIOR_SAMPLES
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Returns the value that is this many mean deviations above the mean.
    pub(crate) fn above(&self, deviations: f64) -> f64 {
        self.value + deviations * self.deviation
    }

    /// A value that most samples stay below.
    pub(crate) fn high(&self) -> f64 {
        self.value + self.deviation
    }
}
