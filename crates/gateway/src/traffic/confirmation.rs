use std::sync::{Arc, Mutex, PoisonError};

use celeryhaven_types::{ConfigNumber, TimeMs};

/// Up to when a configuration is known to be the newest one, shared by both threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedConfirmation {
    newest: Arc<Mutex<Option<(ConfigNumber, TimeMs)>>>,
}

impl SharedConfirmation {
    /// Records that a configuration was the newest one at a time.
    pub(crate) fn record(&self, number: ConfigNumber, confirmed_at: TimeMs) {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        *newest = (*newest).max(Some((number, confirmed_at)));
    }

    /// Returns the time since a configuration was last known to be the newest one; `None` if a newer
    /// one is known.
    pub(crate) fn age_ms(&self, now: TimeMs, number: ConfigNumber) -> Option<u64> {
        let newest = *self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        newest.filter(|(newest, _)| *newest <= number).map(|(_, at)| now.since(at))
    }
}
