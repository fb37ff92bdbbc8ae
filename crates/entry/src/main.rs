//! The entry process: admits, queues, routes and streams requests.

use std::process::ExitCode;

use celeryhaven_args::{Args, help};
use celeryhaven_entry::process::leave_on_signal;
use celeryhaven_entry::{EntryProcess, ProcessError};
use celeryhaven_settings::EntrySettings;
use celeryhaven_telemetry::open_log;

/// Purpose in the help text.
const PURPOSE: &str = "takes callers' requests and routes them to whole replicas";

const FAILED: u8 = 1;
const WRONG_COMMAND_LINE: u8 = 2;
const WRONG_SETTINGS: u8 = 3;

fn main() -> ExitCode {
    match Args::parse(std::env::args_os().skip(1).collect()) {
        Ok(Args::Help) => print!("{}", help("celeryhaven-entry", PURPOSE)),
        Ok(Args::Version) => println!("celeryhaven-entry {}", env!("CARGO_PKG_VERSION")),
        Ok(Args::Check { settings }) => match EntrySettings::load(&settings) {
            Ok(_) => println!("{settings}: ok"),
            Err(error) => return fail(WRONG_SETTINGS, &error),
        },
        Ok(Args::Run { settings }) => match EntrySettings::load(&settings) {
            Ok(settings) => match run(&settings) {
                Ok(()) => {}
                Err(error) => return fail(FAILED, &error),
            },
            Err(error) => return fail(WRONG_SETTINGS, &error),
        },
        Err(error) => return fail(WRONG_COMMAND_LINE, &error),
    }
    ExitCode::SUCCESS
}

fn run(settings: &EntrySettings) -> Result<(), ProcessError> {
    let (log, _guard) =
        open_log(std::io::stderr(), settings.log_level, "entry", settings.node.as_str());
    let process = EntryProcess::start(settings, log.clone())?;
    leave_on_signal(&process, log.clone())?;
    process.wait_left()?;
    slog::info!(log, "left");
    Ok(())
}

fn fail(code: u8, error: &dyn std::error::Error) -> ExitCode {
    eprintln!("celeryhaven-entry: {error}");
    ExitCode::from(code)
}
