//! Time from the loss of a member until a replica serves again.

mod recovery_report;

pub use recovery_report::{Recovery, RecoveryReport};
