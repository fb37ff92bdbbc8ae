use std::net::SocketAddr;

use snafu::Snafu;

/// Why a gateway cannot run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProcessError {
    /// An address cannot be listened at.
    #[snafu(display(
        "cannot listen at {address}: {source}; free the address or change the settings"
    ))]
    Listen {
        /// Where.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The control thread cannot be started.
    #[snafu(display("cannot start the control thread: {source}"))]
    Thread {
        /// What the system says.
        source: std::io::Error,
    },
    /// Signals cannot be taken.
    #[snafu(display("cannot take signals: {source}"))]
    Signals {
        /// What the system says.
        source: std::io::Error,
    },
    /// The system gives no random numbers.
    #[snafu(display("the system gives no random numbers: {source}"))]
    Random {
        /// What the system says.
        source: getrandom::Error,
    },
    /// The control thread has ended by a fault.
    #[snafu(display("the control thread has ended; see the log above"))]
    ControlEnded,
}
