//! JSON logs.

mod open;
mod record;

pub use open::{LogGuard, open_log};
pub use record::RequestRecord;
