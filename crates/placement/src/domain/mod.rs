//! Which VMs of a fabric domain form which replica, and the orders that follow.

mod breaking;
mod draft;
mod draining;
mod forming;
mod memory;
mod mending;
mod order;
mod planner;
mod releasing;
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
pub(crate) use memory::Memory;
