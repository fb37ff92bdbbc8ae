//! The listener for callers.

mod limits;
mod listener;
mod stop;

pub use limits::ServerLimits;
pub use listener::Listener;
pub use stop::StopSignal;
