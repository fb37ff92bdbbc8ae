//! All listed targets, and the replicas they report to form.

mod fleet_view;
mod replica;

pub use fleet_view::FleetView;
pub use replica::{Replica, ReplicaKey};
