//! Forwarding of requests to targets.

mod attempt;
mod connector;
mod conversation;
mod events;
mod forwarder;
mod gate;
mod idle;
mod on_sent;
mod progress;
mod refusals;

pub use events::{EventChecker, Foreign, WholeEvents};
pub(crate) use forwarder::{Forwarder, Target};
pub use gate::{Gate, Progress};
pub use on_sent::OnSent;
