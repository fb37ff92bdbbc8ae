//! The current record of every member, and the precedence of updates.

mod members;
mod record;

pub(crate) use members::{Members, UpdateOutcome};
pub(crate) use record::{MemberKey, Record};
