//! Assignment of VMs to replicas.

mod domain;
mod replica;

pub use domain::{DomainPlacement, ReleasingVm};
pub use replica::{Replica, ReplicaPhase};
