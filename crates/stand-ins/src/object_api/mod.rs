//! Stand-in for the platform's Object API.

mod counters;
mod faults;
mod limits;
mod objects;
mod service;

pub use counters::Counters;
pub use faults::ObjectApiFaults;
pub use limits::{Limits, TokenBucket};
pub use objects::{Objects, WriteOutcome};
pub use service::ObjectApi;
