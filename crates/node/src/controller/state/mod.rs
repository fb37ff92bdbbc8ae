//! Leases, fabric domains and the allocation.

mod allocation_control;
mod calls;
mod capacity;
mod domain_control;
mod fleet;
mod lease_client;
mod lease_term;
mod order_tracker;
mod outbox;
mod reader;
mod versioned_object;

pub(crate) use allocation_control::AllocationControl;
pub(crate) use calls::{Calls, Route};
pub(crate) use capacity::{CapacityHold, current_capacity};
pub(crate) use domain_control::{DomainControl, DomainInputs};
pub(crate) use fleet::Fleet;
pub(crate) use lease_client::LeaseClient;
pub(crate) use lease_term::LeaseTerm;
pub(crate) use order_tracker::OrderTracker;
pub(crate) use outbox::Outbox;
pub(crate) use reader::Reader;
pub(crate) use versioned_object::VersionedObject;
