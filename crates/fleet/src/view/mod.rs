//! All listed targets and the replicas that they report.

mod answer_run;
mod domain_targets;
mod evacuations;
mod fleet_view;
mod replica;
mod replica_index;
mod unlisted;
mod unlisted_change;
mod unlisted_target;

pub use answer_run::AnswerRun;
pub use domain_targets::DomainTargets;
pub use evacuations::Evacuations;
pub use fleet_view::FleetView;
pub use replica::{Replica, ReplicaKey};
pub use unlisted_change::{UnlistedChange, UnlistedEnd};
pub use unlisted_target::UnlistedTarget;
