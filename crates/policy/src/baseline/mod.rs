//! First-in-first-out policies for comparison.

mod fifo;
mod least_loaded;
mod round_robin;

pub use least_loaded::LeastLoaded;
pub use round_robin::RoundRobin;
