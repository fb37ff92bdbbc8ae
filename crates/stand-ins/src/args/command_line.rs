use std::fmt::Display;
use std::str::FromStr;

use pico_args::Arguments;
use snafu::{ResultExt, Snafu};

/// An error in the command line.
#[derive(Debug, Snafu)]
pub enum ArgsError {
    /// An option is missing or its value is invalid.
    #[snafu(display("invalid value or missing option {option}: {source}"))]
    Option {
        /// The name of the option.
        option: &'static str,
        /// The parse error.
        source: pico_args::Error,
    },
    /// The command line has unknown arguments.
    #[snafu(display("unknown arguments: {arguments}"))]
    UnknownArguments {
        /// The unknown arguments.
        arguments: String,
    },
}

/// The command-line options of a program.
#[derive(Debug)]
pub struct CommandLine {
    arguments: Arguments,
}

impl CommandLine {
    /// Reads the options of this process.
    pub fn from_env() -> Self {
        Self { arguments: Arguments::from_env() }
    }

    /// Returns the value of a required option.
    pub fn required<T>(&mut self, option: &'static str) -> Result<T, ArgsError>
    where
        T: FromStr<Err: Display>,
    {
        self.arguments.value_from_str(option).context(OptionSnafu { option })
    }

    /// Returns the value of an option, or a default.
    pub fn or<T>(&mut self, option: &'static str, default: T) -> Result<T, ArgsError>
    where
        T: FromStr<Err: Display>,
    {
        Ok(self.optional(option)?.unwrap_or(default))
    }

    /// Returns the value of an optional option.
    pub fn optional<T>(&mut self, option: &'static str) -> Result<Option<T>, ArgsError>
    where
        T: FromStr<Err: Display>,
    {
        self.arguments.opt_value_from_str(option).context(OptionSnafu { option })
    }

    /// Returns all values of a repeatable option.
    pub fn repeated<T>(&mut self, option: &'static str) -> Result<Vec<T>, ArgsError>
    where
        T: FromStr<Err: Display>,
    {
        self.arguments.values_from_str(option).context(OptionSnafu { option })
    }

    /// Whether a switch is present.
    pub fn switch(&mut self, option: &'static str) -> bool {
        self.arguments.contains(option)
    }

    /// Returns an error if arguments are left that no option has consumed.
    pub fn finish(self) -> Result<(), ArgsError> {
        let arguments = self.arguments.finish();
        if arguments.is_empty() {
            return Ok(());
        }
        let arguments =
            arguments.iter().map(|part| part.to_string_lossy()).collect::<Vec<_>>().join(" ");
        Err(ArgsError::UnknownArguments { arguments })
    }
}
