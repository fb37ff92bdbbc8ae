use std::ffi::OsString;

use pico_args::Arguments;
use snafu::{ResultExt, Snafu};

/// What `--help` prints for a program of this name.
pub fn help(program: &str) -> String {
    format!(
        "\
{program}: takes callers' requests and forms the replicas that answer them

Usage: {program} --settings FILE [--check]

  --settings FILE  process settings in YAML (docs/SETTINGS.md)
  --check          check the settings and exit
  --help           print this
  --version        print the version

Exit codes: 0 left in order, or the check passed; 1 a failure; 2 a wrong command line;
3 wrong settings.
"
    )
}

/// What is wrong with a command line.
#[derive(Debug, Snafu)]
pub enum ArgsError {
    /// An option is missing or malformed.
    #[snafu(display("{source}; see --help"))]
    Option {
        /// What.
        source: pico_args::Error,
    },
    /// Something is left over.
    #[snafu(display("`{}` is not an option; see --help", left.to_string_lossy()))]
    Unknown {
        /// What.
        left: OsString,
    },
}

/// What a command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Args {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check the settings.
    Check {
        /// Their file.
        settings: String,
    },
    /// Serve.
    Run {
        /// The file of the settings.
        settings: String,
    },
}

impl Args {
    /// Reads a command line without its program name.
    ///
    /// # Errors
    ///
    /// An option is missing, malformed or unknown.
    ///
    /// ```
    /// use celeryhaven_gateway::Args;
    /// let args = Args::parse(vec!["--settings".into(), "gateway.yaml".into()]).unwrap();
    /// assert_eq!(args, Args::Run { settings: "gateway.yaml".into() });
    /// ```
    pub fn parse(args: Vec<OsString>) -> Result<Self, ArgsError> {
        let mut args = Arguments::from_vec(args);
        if args.contains(["-h", "--help"]) {
            return Ok(Self::Help);
        }
        if args.contains(["-V", "--version"]) {
            return Ok(Self::Version);
        }
        let check = args.contains("--check");
        let settings = args.value_from_str("--settings").context(OptionSnafu)?;
        match args.finish().into_iter().next() {
            Some(left) => UnknownSnafu { left }.fail(),
            None if check => Ok(Self::Check { settings }),
            None => Ok(Self::Run { settings }),
        }
    }
}
