//! State machine of a candidate.

mod call;
mod lease;
mod lease_term;
mod observed_object;
mod proximity;

pub use lease::Lease;
pub use proximity::Proximity;

pub(crate) use call::{Call, UnconfirmedWrite};
pub(crate) use lease_term::LeaseTerm;
pub(crate) use observed_object::ObservedObject;
