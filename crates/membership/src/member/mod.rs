//! A member, its state, and updates of both.

mod identity;
mod state;
mod update;

pub use identity::{Member, MemberPhase};
pub use state::MemberState;
pub use update::MembershipUpdate;
