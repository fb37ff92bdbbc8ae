use std::ffi::OsString;

use snafu::Snafu;

/// Error in a command line.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ArgsError {
    /// An option is missing or malformed.
    #[snafu(display("{source}; see --help"))]
    Option {
        /// The cause.
        source: pico_args::Error,
    },
    /// An argument is not known.
    #[snafu(display("`{}` is not an option; see --help", left.to_string_lossy()))]
    Unknown {
        /// The argument.
        left: OsString,
    },
}
