//! Simulation of entry nodes with targets, an Object API and callers, in virtual time.
//!
//! All randomness derives from one seed, so runs are reproducible. The checks see what callers
//! received and what targets ran, never a node's internal state.
#![allow(dead_code, unused_imports, reason = "each test file uses a part of the harness")]

mod callers;
mod driver;
mod entries;
mod events;
mod faults;
mod least_loaded;
mod policy;
mod schedule;
mod setup;
mod store;
mod vms;
mod world;

pub use events::Fault;
pub use least_loaded::{LeastLoaded, PolicyBehaviour};
pub use schedule::{Schedule, schedules};
pub use setup::{KeySource, MODEL, Plan, TargetFaults, config};
pub use world::World;
