//! The command line.

mod command;
mod command_line;
mod error;
mod help;

pub use command::{Command, FileKind};
pub use command_line::Args;
pub use error::ArgsError;
