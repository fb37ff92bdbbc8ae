//! Detection of replicas whose streams have all paused or stalled.

mod pass_profile;
mod pass_times;
mod quiet_replica;
mod second_limit;
mod stall_detector;

pub use pass_profile::PassProfile;
pub use quiet_replica::QuietReplica;
pub use second_limit::quiet_seconds_max;
pub use stall_detector::StallDetector;
