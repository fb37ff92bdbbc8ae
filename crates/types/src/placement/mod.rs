//! Which VM belongs to which replica.

mod domain;
mod replica;

pub use domain::{DomainPlacement, ReleasingVm};
pub use replica::{Replica, ReplicaPhase};
