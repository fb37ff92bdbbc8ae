//! One line of a log, and a whole log.

mod log;
mod log_line;

pub use log::Log;
pub use log_line::{Fields, LogLine};
