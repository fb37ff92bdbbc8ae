//! The state machine of one candidate.

mod call;
mod held;
mod lease;
mod proximity;
mod seen;

pub use lease::Lease;
pub use proximity::Proximity;

pub(crate) use call::{Call, Doubt};
pub(crate) use held::Held;
pub(crate) use seen::Seen;
