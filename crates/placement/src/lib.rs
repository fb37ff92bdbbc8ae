//! Placement of replicas on VMs and the operators' plan, without I/O.
//!
//! | module | result |
//! |---|---|
//! | [`allocation`] | number and version of a deployment's replicas in each fabric domain |
//! | [`domain`] | the replica that each VM of a fabric domain belongs to, and the resulting orders |
//! | [`plan`] | replicas that a changed intent would form, stop and replace, and who uses them |
//!
//! The only state is when a condition was first observed. A new lease holder starts without it and
//! therefore waits longer.

pub mod allocation;
pub mod domain;
pub mod plan;

pub use allocation::{Allocation, DomainCapacity, Share, allocate, replicas_unplaced};
pub use domain::{
    DeploymentStatus, DomainPlanner, DomainView, MemberOrder, PlacementSettings, TimedReport,
    VmAvailability, VmState, WantedDeployment, broken_replicas, deployment_statuses,
    empty_placement, orders,
};
pub use plan::{describe, drain_summary, make_plan};
