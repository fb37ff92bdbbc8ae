//! Placement of replicas on VMs and the operators' plan, without I/O.
//!
//! | module | what it decides |
//! |---|---|
//! | [`allocation`] | how many replicas of each deployment each fabric domain gets, in which version |
//! | [`domain`] | which VMs of a fabric domain form which replica, and the orders that follow |
//! | [`plan`] | what a changed intent would form, stop and replace, and for whom |
//!
//! All of it is plain functions of what is known now. The only memory is since when something has
//! been so; a new holder of a lease starts that anew, which only makes it wait longer.

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
