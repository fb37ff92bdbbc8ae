//! Analyses gateway logs: request outcomes, losses, recovery and use of targets.
//!
//! | module | what it holds |
//! |---|---|
//! | [`mod@line`] | log lines, and a log sorted by time |
//! | [`requests`] | outcomes of requests, by time span and by route |
//! | [`recovery`] | time from the loss of a member until a replica serves again |
//! | [`targets`] | states of targets over time, and concurrent model loads |
//! | [`timeline`] | all log lines about one request and its targets |

pub mod line;
pub mod recovery;
pub mod requests;
pub mod targets;
pub mod timeline;

pub use line::{Log, LogLine};
pub use recovery::RecoveryReport;
pub use requests::RequestTable;
pub use targets::TargetTable;
pub use timeline::request_timeline;
