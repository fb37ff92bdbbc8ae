//! Runs a controller until it receives a signal to stop.

use std::process::ExitCode;

use celeryhaven_controller::{Args, run};

/// Exit code for a rejected command line or settings file.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let args = match Args::from_env() {
        Ok(Some(args)) => args,
        Ok(None) => {
            println!("{}", Args::HELP);
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("celeryhaven-controller: {error}\n\n{}", Args::HELP);
            return ExitCode::from(USAGE);
        }
    };
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("celeryhaven-controller: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
