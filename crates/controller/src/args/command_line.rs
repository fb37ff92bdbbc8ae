use celeryhaven_derives::state;
use pico_args::Arguments;
use snafu::{ResultExt, Snafu, ensure};

state! {
    /// Command-line arguments of the process.
    pub struct Args {
        /// Path of the settings file.
        pub settings: String,
    }
}

/// Reasons to reject a command line.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum ArgsError {
    /// `--settings` is missing or has no value.
    #[snafu(display("the settings file is required, as `--settings FILE`: {source}"))]
    Settings {
        /// The cause.
        source: pico_args::Error,
    },
    /// Unexpected arguments.
    #[snafu(display("unexpected arguments: {rest}"))]
    Rest {
        /// The unexpected arguments.
        rest: String,
    },
}

impl Args {
    /// The output of `--help`.
    pub const HELP: &str = "Forms replicas, orders targets and answers operators.\n\n\
        Usage: celeryhaven-controller --settings FILE\n\n\
        Options:\n  --settings FILE  settings of this controller, in YAML\n  \
        -h, --help       print help\n\n\
        It stops on SIGTERM or SIGINT, after releasing its leases.\n\
        Exit codes: 0 stopped by a signal, 1 failed while running, 2 settings or command line rejected";

    /// Parses the command line of this process; `None` if it requests help.
    pub fn from_env() -> Result<Option<Self>, ArgsError> {
        let mut arguments = Arguments::from_env();
        if arguments.contains(["-h", "--help"]) {
            return Ok(None);
        }
        let settings = arguments.value_from_str("--settings").context(SettingsSnafu)?;
        let rest = arguments.finish();
        let rest: Vec<_> = rest.iter().map(|text| text.to_string_lossy()).collect();
        ensure!(rest.is_empty(), RestSnafu { rest: rest.join(" ") });
        Ok(Some(Self { settings }))
    }
}
