//! Command lines of the stand-in programs.

mod command_line;

pub use command_line::{ArgsError, CommandLine};
