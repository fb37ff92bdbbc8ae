use std::ffi::OsString;

use pico_args::Arguments;
use snafu::ResultExt;

use crate::ArgsError;
use crate::error::{OptionSnafu, UnknownSnafu};

/// Action requested by a command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Args {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check the settings and exit.
    Check {
        /// Path of the settings file.
        settings: String,
    },
    /// Run the process.
    Run {
        /// Path of the settings file.
        settings: String,
    },
}

impl Args {
    /// Parses a command line without the program name.
    ///
    /// # Errors
    ///
    /// An option is missing, malformed or unknown.
    ///
    /// ```
    /// use celeryhaven_args::Args;
    /// let args = Args::parse(vec!["--settings".into(), "entry.yaml".into()]).unwrap();
    /// assert_eq!(args, Args::Run { settings: "entry.yaml".into() });
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
