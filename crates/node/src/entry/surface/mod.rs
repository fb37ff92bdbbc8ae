//! Queries of the driver: readiness, addresses, organisations and status.

mod answer;
mod queries;
mod status;

pub use answer::{AddressAnswer, KeyAnswer};
pub use status::{EntryStatus, ReplicaStatus};
