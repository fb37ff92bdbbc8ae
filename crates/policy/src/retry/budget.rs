use celeryhaven_derives::state;

state! {
    /// A token bucket that limits retries.
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

    /// Sets the most retries that may be saved, and drops those above it.
    pub(crate) fn set_saved_max(&mut self, saved_max: f64) {
        self.saved_max = saved_max;
        self.saved = self.saved.min(saved_max);
    }

    pub(crate) fn deposit(&mut self) {
        self.saved = (self.saved + self.earned).min(self.saved_max);
    }

    pub(crate) fn try_withdraw(&mut self) -> bool {
        let has_token = self.saved >= 1.0;
        if has_token {
            self.saved -= 1.0;
        }
        has_token
    }
}
