//! Command line of processes that run from a settings file.

mod args;
mod error;
mod help;

pub use args::Args;
pub use error::ArgsError;
pub use help::help;
