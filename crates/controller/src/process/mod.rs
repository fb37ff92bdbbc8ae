//! Start and stop of the process.

mod error;
mod options;
mod run;

pub use error::ProcessError;
pub use run::run;

pub(crate) use options::options;
