//! The domain's record in the store.

mod domain_record;

pub use domain_record::{DomainRecord, PlannedReplica};
