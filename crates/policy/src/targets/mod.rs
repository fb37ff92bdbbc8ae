//! Targets as one entry node sees them: lagging load, own sends since, health.

mod adapter;
mod available;
mod health;
mod in_flight;
mod subset;
mod target_state;

pub(crate) use adapter::HeldAdapter;
pub(crate) use available::Available;
pub(crate) use health::{Health, Standing};
pub(crate) use in_flight::{Expected, InFlight};
pub use subset::TargetSubset;
pub(crate) use target_state::{TargetState, Usual};
