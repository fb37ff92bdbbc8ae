use std::net::SocketAddr;

use celeryhaven_link::LinkError;
use celeryhaven_settings::SettingsError;
use snafu::Snafu;

/// Errors that prevent a controller from starting or stop it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum ProcessError {
    /// The settings were rejected.
    #[snafu(display("{source}"))]
    Settings {
        /// The cause.
        source: SettingsError,
    },
    /// The certificate, its key or the operators' address cannot be used.
    #[snafu(display("{source}"))]
    Link {
        /// The cause.
        source: LinkError,
    },
    /// The certificate belongs to another node.
    #[snafu(display("the certificate is {found}'s; give the one of node {node}"))]
    OtherNode {
        /// Name in the certificate.
        found: String,
        /// Name of this node.
        node: String,
    },
    /// The address for health checks and metrics cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}; change http_listen"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// Signal handlers cannot be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
    /// The system's random number generator failed.
    #[snafu(display("cannot get a random number for this boot: {source}"))]
    Random {
        /// The cause.
        source: getrandom::Error,
    },
}

impl ProcessError {
    /// Returns the exit code of the process for this error.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Settings { .. } | Self::Link { .. } | Self::OtherNode { .. } => 2,
            Self::Listen { .. } | Self::Signals { .. } | Self::Random { .. } => 1,
        }
    }
}
