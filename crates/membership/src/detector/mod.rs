//! The state machine and its actions.

mod action;
mod membership;
mod receiving;
mod ticking;

pub use action::MembershipAction;
pub use membership::Membership;
