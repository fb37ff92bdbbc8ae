//! State of each target as seen by one entry node: last load report, own requests since, health.

mod adapter;
mod health;
mod in_flight;
mod pace;
mod subset;
mod target_set;
mod target_state;

pub(crate) use adapter::LoadedAdapter;
pub(crate) use health::{Health, HealthState};
pub(crate) use in_flight::{AttemptEstimate, InFlight};
pub(crate) use pace::Pace;
pub use subset::TargetSubset;
pub(crate) use target_set::TargetSet;
pub(crate) use target_state::{ClassAverage, TargetState};
