//! All listed targets, and the replicas they report to form.

mod domain_targets;
mod fleet_view;
mod replica;
mod replica_index;

pub use domain_targets::DomainTargets;
pub use fleet_view::FleetView;
pub use replica::{Replica, ReplicaKey};
