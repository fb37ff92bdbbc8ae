//! Runs one operator command.

use std::process::ExitCode;

use celeryhaven_ctl::{Args, ExitStatus, run};

fn main() -> ExitCode {
    match Args::from_env() {
        Ok(Some(args)) => run(&args).into(),
        Ok(None) => {
            println!("{}", Args::HELP);
            ExitStatus::Done.into()
        }
        Err(error) => {
            eprintln!("celeryhaven-ctl: {error}\n\n{}", Args::HELP);
            ExitStatus::Usage.into()
        }
    }
}
