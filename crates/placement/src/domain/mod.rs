//! Assignment of the VMs of a fabric domain to replicas, and the resulting orders.

mod draft;
mod draining;
mod forming;
mod order;
mod planner;
mod planner_state;
mod preemption;
mod releasing;
mod repairing;
mod settings;
mod status;
mod view;
mod vm_state;

pub use order::{MemberOrder, orders};
pub use planner::{DomainPlanner, empty_placement};
pub use settings::PlacementSettings;
pub use status::{DeploymentStatus, broken_replicas, deployment_statuses};
pub use view::{DomainView, WantedDeployment};
pub use vm_state::{TimedReport, VmAvailability, VmState};

pub(crate) use draft::{Draft, MemberState};
pub(crate) use planner_state::PlannerState;
