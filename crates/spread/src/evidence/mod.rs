//! How long a copy may be vouched for.

mod confirmation;
mod confirmed;

pub use confirmation::Confirmation;
pub(crate) use confirmed::Confirmed;
