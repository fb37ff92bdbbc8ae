use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use celeryhaven_types::TimeMs;

use celeryhaven_clock::BootClock;

/// A control thread that has not looked at the time for this long is not ready, in milliseconds.
const STALLED_MS: u64 = 2_000;

/// When the control thread looked at the time last, for readiness.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watch {
    looked_at_ms: Arc<AtomicU64>,
}

impl Watch {
    pub(crate) fn looked(&self, now: TimeMs) {
        self.looked_at_ms.store(now.get(), Ordering::Relaxed);
    }

    /// Whether the control thread runs.
    pub(crate) fn is_running(&self) -> bool {
        let looked_at = TimeMs::new(self.looked_at_ms.load(Ordering::Relaxed));
        BootClock.now().since(looked_at) < STALLED_MS
    }
}
