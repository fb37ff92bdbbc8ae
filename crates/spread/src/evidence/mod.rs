//! Whether a copy is confirmed as current.

mod confirmation;
mod last_confirmed;

pub use confirmation::Confirmation;
pub(crate) use last_confirmed::LastConfirmed;
