use celeryhaven_types::Verdict;
use snafu::Snafu;

/// Why an exchange on a channel gave no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ChannelError {
    /// No connection could be made; nothing was sent.
    #[snafu(display("no connection: {source}; check that the target listens"))]
    Connect {
        /// What the system says.
        source: std::io::Error,
    },
    /// The connection did not stand in time; nothing was sent.
    #[snafu(display("no connection after {timeout_ms} ms; check the path to the target"))]
    ConnectTimeout {
        /// How long was waited.
        timeout_ms: u64,
    },
    /// The connection had ended before anything was sent.
    #[snafu(display("the connection had ended; use another"))]
    Ended,
    /// The exchange broke off after bytes may have left.
    #[snafu(display("the exchange broke off: {source}"))]
    Broken {
        /// What was wrong.
        source: hyper::Error,
    },
}

impl ChannelError {
    /// Whether the request may have reached the target.
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. } | Self::ConnectTimeout { .. } | Self::Ended => Verdict::NotRun,
            Self::Broken { .. } => Verdict::MayHaveRun,
        }
    }
}
