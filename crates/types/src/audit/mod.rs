//! Plans and records of configuration changes.

mod plan;
mod record;

pub use plan::{Plan, PlanEffect, PlanId};
pub use record::{Change, ChangeRecord};
