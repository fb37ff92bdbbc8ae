//! Objects and changes that a relay retains for its followers.

mod change_log;

pub use change_log::{ChangeLog, RelayAnswer, StoreContact};
