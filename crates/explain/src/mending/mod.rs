//! From the loss of a member to a replica that serves again.

mod mending_report;

pub use mending_report::{Mend, Mending};
