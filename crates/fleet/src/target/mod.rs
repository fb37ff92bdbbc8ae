//! One listed target, its membership of a replica, the orders it takes.

mod entry;
mod order;

pub use entry::{MemberState, Membership, TargetEntry, TargetPhase};
pub use order::{CloseMode, OrderOutcome, TargetOrder};
