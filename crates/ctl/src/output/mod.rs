//! Tables, JSON and exit codes.

mod exit_status;
mod show;
mod table;

pub use exit_status::ExitStatus;
pub use show::{report, show};

pub(crate) use table::Table;
