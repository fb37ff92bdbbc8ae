//! Simulated entry nodes and their environment.

mod declared;
mod events;
mod load;
mod run;
mod size;
mod store;

pub use run::Fleet;
pub use size::FleetSize;
