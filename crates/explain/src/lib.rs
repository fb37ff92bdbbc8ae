//! Analyses gateway logs: request outcomes, losses, recovery and use of targets.
//!
//! | module | what it holds |
//! |---|---|
//! | [`mod@line`] | log lines, and a log sorted by time |
//! | [`requests`] | outcomes of requests, by time span and by route |
//! | [`mending`] | time from the loss of a member until a replica serves again |
//! | [`targets`] | states of targets over time, and concurrent model loads |
//! | [`mod@story`] | all log lines about one request and its targets |

pub mod line;
pub mod mending;
pub mod requests;
pub mod story;
pub mod targets;

pub use line::{Log, LogLine};
pub use mending::Mending;
pub use requests::RequestTable;
pub use story::story;
pub use targets::TargetTable;
