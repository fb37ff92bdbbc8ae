//! All listed targets and the replicas that they report.

mod domain_targets;
mod evacuations;
mod fleet_view;
mod replica;
mod replica_index;

pub use domain_targets::DomainTargets;
pub use evacuations::Evacuations;
pub use fleet_view::FleetView;
pub use replica::{Replica, ReplicaKey};
