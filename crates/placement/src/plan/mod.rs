//! Effects of a changed intent: replicas that it would form, stop and replace, and who uses them.

mod describe;
mod effects;
mod identity;
mod settings_diff;

pub use describe::{describe, drain_summary};
pub use effects::make_plan;

pub(crate) use identity::plan_id;
pub(crate) use settings_diff::settings_diff;
