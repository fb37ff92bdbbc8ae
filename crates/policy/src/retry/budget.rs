use celeryhaven_derives::state;

state! {
    /// A token bucket of retries.
    #[derive(Copy)]
    pub(crate) struct RetryBudget {
        earned: f64,
        saved_max: f64,
        saved: f64,
    }
}

impl RetryBudget {
    pub(crate) fn new(earned: f64, saved_max: f64) -> Self {
        Self { earned, saved_max, saved: saved_max }
    }

    /// Saves at most this many from now on, such as when the number of nodes has changed.
    pub(crate) fn set_saved_max(&mut self, saved_max: f64) {
        self.saved_max = saved_max;
        self.saved = self.saved.min(saved_max);
    }

    pub(crate) fn arrived(&mut self) {
        self.saved = (self.saved + self.earned).min(self.saved_max);
    }

    pub(crate) fn take(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
