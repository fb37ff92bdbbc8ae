//! The reports of one replica's members and the judgement on them.

mod assessment;
mod reports;

pub use assessment::{Assessment, NotWholeReason};
pub use reports::Agreement;
