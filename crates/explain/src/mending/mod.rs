//! Time from the loss of a member until a replica serves again.

mod mending_report;

pub use mending_report::{Mend, Mending};
