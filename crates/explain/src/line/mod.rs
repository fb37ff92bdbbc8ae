//! Log lines, and a log sorted by time.

mod log;
mod log_line;

pub use log::Log;
pub use log_line::{Fields, LogLine};
