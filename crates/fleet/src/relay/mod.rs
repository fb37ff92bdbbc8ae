//! What a relay keeps of a kind of object, for nodes that ask it instead of the store.

mod change_log;

pub use change_log::{ChangeLog, RelayAnswer, StoreContact};
