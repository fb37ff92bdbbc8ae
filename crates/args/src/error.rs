use std::ffi::OsString;

use snafu::Snafu;

/// What is wrong with a command line.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
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
