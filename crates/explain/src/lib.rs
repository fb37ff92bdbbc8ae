//! Takes the logs of gateways apart: what was lost when, and why.
//!
//! | module | what it holds |
//! |---|---|
//! | [`mod@line`] | one line of a log, and a whole log in the order of time |
//! | [`requests`] | what became of requests, by span of time and by route |
//! | [`mending`] | from the loss of a member to a replica that serves again |
//! | [`targets`] | what every target was for, and the loads that ran at once |
//! | [`mod@story`] | all that the logs say of one request and of the targets it met |

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
