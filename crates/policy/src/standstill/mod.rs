//! Replicas whose streams stand still together.

mod watch;

pub use watch::StandstillWatch;
