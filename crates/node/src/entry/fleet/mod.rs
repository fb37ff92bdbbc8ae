//! Membership of entries, distribution of configuration, and data centre status.

mod receiving;
mod relays;
mod reporting;
mod state;

pub(crate) use reporting::Reporter;
pub(crate) use state::Fleet;
