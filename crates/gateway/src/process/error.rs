use std::net::SocketAddr;

use snafu::Snafu;

/// Error that prevents a gateway from running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProcessError {
    /// The process cannot listen on an address.
    #[snafu(display(
        "cannot listen on {address}: {source}; free the address or change it in the settings"
    ))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The control thread cannot be started.
    #[snafu(display("cannot start the control thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The operating system returned no random bytes.
    #[snafu(display("the operating system returned no random bytes: {source}"))]
    Random {
        /// Error of the operating system.
        source: getrandom::Error,
    },
    /// The control thread has stopped because of a fault.
    #[snafu(display("the control thread has ended; see the log above"))]
    ControlEnded,
}
