//! The link to a controller.

mod ask;
pub(crate) mod error;

pub use ask::ask;
pub use error::CtlError;
