//! Targets, polls of their members, and their eligibility for requests.

mod followed;
mod pause;
mod polls;
mod remote;
mod target;
mod targets;

pub(crate) use pause::PauseGuard;
pub(crate) use polls::Polls;
pub(crate) use remote::RemoteObservation;
pub(crate) use target::{Serving, Target};
pub(crate) use targets::Targets;
