//! Instants on a node's own clock.

mod time_ms;

pub use time_ms::TimeMs;
