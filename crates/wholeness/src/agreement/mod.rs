//! Reports of a replica's members and their assessment.

mod assessment;
mod reports;

pub use assessment::{Assessment, NotWholeReason};
pub use reports::Agreement;
