use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag::register;
use smol::Timer;
use snafu::ResultExt;

use crate::process::ProcessError;
use crate::process::error::SignalsSnafu;

/// Time between two looks for signals.
const LOOK: Duration = Duration::from_millis(50);

/// Signals that the process has got.
#[derive(Clone, Debug)]
pub(crate) struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Takes the signals from now on.
    pub(crate) fn take() -> Result<Self, ProcessError> {
        let signals = Self { stop: Arc::default(), reload: Arc::default() };
        register(SIGTERM, signals.stop.clone()).context(SignalsSnafu)?;
        register(SIGINT, signals.stop.clone()).context(SignalsSnafu)?;
        register(SIGHUP, signals.reload.clone()).context(SignalsSnafu)?;
        Ok(signals)
    }

    /// Waits for the signal to stop; calls back for each signal to reload.
    pub(crate) async fn stopped(&self, reload: impl Fn()) {
        while !self.stop.load(Ordering::Relaxed) {
            if self.reload.swap(false, Ordering::Relaxed) {
                reload();
            }
            Timer::after(LOOK).await;
        }
    }
}
