//! The state machine that drivers use.

mod action;
mod membership;
mod receiving;
mod ticking;

pub use action::MembershipAction;
pub use membership::Membership;
