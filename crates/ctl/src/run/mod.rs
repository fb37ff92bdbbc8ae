//! Execution of a command.

mod command;

pub use command::run;
