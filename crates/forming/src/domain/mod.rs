//! The state machine of a domain's coordinator.

mod converting;
mod dissolved;
mod dissolving;
mod domain_planner;
mod formation;
mod free;
mod load_grants;
mod needs;
mod orders;
mod plan_pauses;
mod planning;
mod probe_limit;
mod probing;
mod replicas;
mod second_models;
mod shared_return;
mod staging;
mod unlisted;

pub use domain_planner::DomainPlanner;
