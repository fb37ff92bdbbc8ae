//! Detection of replicas whose streams have all stalled.

mod stall_detector;

pub use stall_detector::StallDetector;
