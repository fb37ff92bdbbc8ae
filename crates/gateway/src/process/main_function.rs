use std::process::ExitCode;

use celeryhaven_args::{Args, help};
use celeryhaven_settings::GatewaySettings;
use celeryhaven_telemetry::open_log;

use crate::adapter::Adapter;
use crate::process::run;

/// Purpose of the program, as printed by its help.
const PURPOSE: &str = "takes callers' requests and forms the replicas that answer them";

const FAILED: u8 = 1;
const WRONG_COMMAND_LINE: u8 = 2;
const WRONG_SETTINGS: u8 = 3;

/// Runs the program: parses the command line and serves until the process is told to stop.
pub fn run_program<A: Adapter>(program: &'static str, adapter: A) -> ExitCode {
    let fail = |code: u8, error: &dyn std::error::Error| {
        eprintln!("{program}: {error}");
        ExitCode::from(code)
    };
    match Args::parse(std::env::args_os().skip(1).collect()) {
        Ok(Args::Help) => print!("{}", help(program, PURPOSE)),
        Ok(Args::Version) => println!("{program} {}", env!("CARGO_PKG_VERSION")),
        Ok(Args::Check { settings }) => match GatewaySettings::load(&settings) {
            Ok(_) => println!("{settings}: ok"),
            Err(error) => return fail(WRONG_SETTINGS, &error),
        },
        Ok(Args::Run { settings: file }) => match GatewaySettings::load(&file) {
            Ok(settings) => {
                let node = settings.node.clone();
                let out = std::io::stdout();
                let (log, _guard) = open_log(out, settings.log_level, "gateway", node.as_str());
                if let Err(error) = run(settings, &file, adapter, log) {
                    return fail(FAILED, &error);
                }
            }
            Err(error) => return fail(WRONG_SETTINGS, &error),
        },
        Err(error) => return fail(WRONG_COMMAND_LINE, &error),
    }
    ExitCode::SUCCESS
}
