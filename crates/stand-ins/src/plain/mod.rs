//! Stand-in for plain services.

mod faults;
mod plain_service;

pub use faults::PlainFaults;
pub use plain_service::{PlainRun, PlainService};
