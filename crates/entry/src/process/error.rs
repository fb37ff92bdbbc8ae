use std::io;
use std::net::SocketAddr;

use celeryhaven_link::LinkError;
use snafu::Snafu;

/// Error of an entry process at its start or while running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum ProcessError {
    /// The certificate, key or authority cannot be used.
    #[snafu(display("the certificate files cannot be used: {source}"))]
    Credentials {
        /// The cause.
        source: LinkError,
    },
    /// The certificate names another process.
    #[snafu(display("the certificate is for `{found}`, but `node` is `{node}`; make them agree"))]
    WrongCertificate {
        /// Name in the certificate.
        found: String,
        /// Name in the settings.
        node: String,
    },
    /// The peer link cannot be opened.
    #[snafu(display("the peer link cannot be opened: {source}"))]
    Peer {
        /// The cause.
        source: LinkError,
    },
    /// The HTTP address cannot be listened on.
    #[snafu(display("{address}: cannot be listened on: {source}; choose a free address"))]
    Http {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The system random number generator failed.
    #[snafu(display("cannot read system randomness: {message}"))]
    Random {
        /// The cause.
        message: String,
    },
    /// The control thread cannot be started.
    #[snafu(display("the control thread cannot be started: {source}"))]
    Thread {
        /// The cause.
        source: io::Error,
    },
    /// The control thread panicked.
    #[snafu(display("the control thread panicked, see the message above; restart the process"))]
    ControlEnded,
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signals {
        /// The cause.
        source: io::Error,
    },
}
