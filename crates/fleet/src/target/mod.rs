//! Listed targets, their membership of replicas, and the orders they accept.

mod entry;
mod order;

pub use entry::{MemberState, Membership, TargetEntry, TargetPhase};
pub use order::{CloseMode, OrderOutcome, TargetOrder};
