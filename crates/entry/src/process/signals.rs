use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::{Logger, info};
use snafu::ResultExt;

use crate::process::{EntryProcess, ProcessError, SignalsSnafu};

/// Starts a graceful stop on the first SIGTERM or SIGINT, and exits at once on the second.
pub fn leave_on_signal(process: &EntryProcess, log: Logger) -> Result<(), ProcessError> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).context(SignalsSnafu)?;
    let leaver = process.leaver();
    thread::spawn(move || {
        let mut forever = signals.forever();
        forever.next();
        info!(log, "leaving: serving on until address answers lapse and streams end");
        leaver.leave();
        forever.next();
        std::process::exit(1);
    });
    Ok(())
}
