use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use celeryhaven_clock::BootClock;
use celeryhaven_graceful_stop::StopWatch;
use celeryhaven_types::TimeMs;
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

    /// Waits for a stop signal, and returns when it was sent at the earliest; calls `reload` for each
    /// reload signal.
    pub(crate) async fn wait_for_stop(&self, reload: impl Fn()) -> TimeMs {
        let mut watch = StopWatch::new(BootClock.now());
        loop {
            // The time comes first: a signal that is sent between the two is not older than it.
            let now = BootClock.now();
            if let Some(asked_at) = watch.look(now, self.stop.load(Ordering::Relaxed)) {
                return asked_at;
            }
            if self.reload.swap(false, Ordering::Relaxed) {
                reload();
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
}
