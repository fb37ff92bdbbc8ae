//! The state machine of one domain's decider.

mod converting;
mod dissolving;
mod domain_planner;
mod formation;
mod free;
mod loads;
mod needs;
mod orders;
mod planning;
mod reach;
mod replicas;
mod second_models;
mod staging;
mod unseen;

pub use domain_planner::DomainPlanner;
