//! The command line.

mod command_line;

pub use command_line::{Args, ArgsError};
