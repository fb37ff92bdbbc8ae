use celeryhaven_types::TimeMs;

/// Loads from the weights store that may begin now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loads {
    per_s: f64,
    saved_max: f64,
    saved: f64,
    at: TimeMs,
}

impl Loads {
    /// A new decider does not know what the last one began, and starts with half of what may be
    /// saved.
    pub(crate) fn new(now: TimeMs, per_s: f64, saved_max: f64) -> Self {
        Self { per_s, saved_max, saved: saved_max / 2.0, at: now }
    }

    pub(crate) fn set_rate(&mut self, per_s: f64) {
        self.per_s = per_s;
    }

    pub(crate) fn take(&mut self, now: TimeMs, loads: usize) -> bool {
        let earned = now.since(self.at) as f64 * self.per_s / 1_000.0;
        self.saved = (self.saved + earned).min(self.saved_max);
        self.at = now;
        let enough = self.saved >= loads as f64;
        if enough {
            self.saved -= loads as f64;
        }
        enough
    }
}
