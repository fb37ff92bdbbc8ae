use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use celeryhaven_types::TimeMs;

use celeryhaven_clock::BootClock;

/// Time without activity after which the control thread counts as stalled, in milliseconds.
const STALL_TIMEOUT_MS: u64 = 2_000;

/// Time of the control thread's last activity, for the readiness check.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlProgress {
    last_active_ms: Arc<AtomicU64>,
}

impl ControlProgress {
    pub(crate) fn record_activity(&self, now: TimeMs) {
        self.last_active_ms.store(now.get(), Ordering::Relaxed);
    }

    /// Whether the control thread has been active recently.
    pub(crate) fn is_running(&self) -> bool {
        let last_active = TimeMs::new(self.last_active_ms.load(Ordering::Relaxed));
        BootClock.now().since(last_active) < STALL_TIMEOUT_MS
    }
}
