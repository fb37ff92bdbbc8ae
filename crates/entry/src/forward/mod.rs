//! Forwarding of requests to targets.

mod attempt;
mod connector;
mod conversation;
mod events;
mod forwarder;
mod idle;
mod on_sent;
mod progress;
mod refusals;
mod send_gate;

pub use events::{CompleteEvents, EventChecker, InvalidStream};
pub(crate) use forwarder::{Forwarder, Target};
pub use on_sent::OnSent;
pub use send_gate::{Progress, SendGate};
