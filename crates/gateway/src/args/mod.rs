//! The command line.

mod parse;

pub use parse::{Args, ArgsError, help};
