//! The listener for callers.

mod connection_counts;
mod limits;
mod listener;
mod stop;

pub use connection_counts::ConnectionCounts;
pub use limits::ServerLimits;
pub use listener::Listener;
pub use stop::StopSignal;
