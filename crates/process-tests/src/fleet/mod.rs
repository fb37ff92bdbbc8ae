//! Shapes, addresses, settings files and the processes of one fleet.

mod addresses;
mod ctl;
mod error;
mod fleet_processes;
mod intent;
mod observe;
mod shape;
mod start;

pub use addresses::Addresses;
pub use ctl::CtlOutput;
pub use error::FleetError;
pub use fleet_processes::Fleet;
pub use intent::{MODEL, ORGANISATIONS, SERVICE, api_key, intent};
pub use shape::FleetShape;
