use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag::register;
use smol::Timer;
use snafu::ResultExt;

use crate::process::ProcessError;
use crate::process::error::SignalsSnafu;

/// Interval between two checks for signals.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Signals received by the process.
#[derive(Clone, Debug)]
pub(crate) struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the signal handlers.
    pub(crate) fn install() -> Result<Self, ProcessError> {
        let signals = Self { stop: Arc::default(), reload: Arc::default() };
        register(SIGTERM, signals.stop.clone()).context(SignalsSnafu)?;
        register(SIGINT, signals.stop.clone()).context(SignalsSnafu)?;
        register(SIGHUP, signals.reload.clone()).context(SignalsSnafu)?;
        Ok(signals)
    }

    /// Waits for a stop signal; calls `reload` for each reload signal.
    pub(crate) async fn wait_for_stop(&self, reload: impl Fn()) {
        while !self.stop.load(Ordering::Relaxed) {
            if self.reload.swap(false, Ordering::Relaxed) {
                reload();
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
}
