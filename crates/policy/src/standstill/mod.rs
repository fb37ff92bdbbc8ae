//! Detection of replicas whose streams have all stalled.

mod watch;

pub use watch::StandstillWatch;
