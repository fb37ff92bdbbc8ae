//! Start and graceful stop of the process.

mod entry_process;
mod error;
mod node_settings;
mod signals;
mod sockets;

pub use entry_process::EntryProcess;
pub use error::ProcessError;
pub(crate) use error::{CredentialsSnafu, HttpSnafu, PeerSnafu, SignalsSnafu, ThreadSnafu};
pub use signals::leave_on_signal;
