use celeryhaven_types::Verdict;
use snafu::Snafu;

use crate::client::InvalidHead;
use crate::socket::{ExcessOverhead, MessagePart};

/// Reason for an exchange without an answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConnectionError {
    /// The connection could not be established; nothing was sent.
    #[snafu(display("no connection: {source}; check that the target listens"))]
    Connect {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The connection was not established in time; nothing was sent.
    #[snafu(display("no connection after {timeout_ms} ms; check the network path to the target"))]
    ConnectTimeout {
        /// Time limit, in milliseconds.
        timeout_ms: u64,
    },
    /// The connection was closed before anything was sent.
    #[snafu(display("connection already closed; open a new one"))]
    Closed,
    /// The answer belongs to another request; the request may have been carried out.
    #[snafu(display("answer of another request ({answered_id}); the connection is closed"))]
    OtherAnswer {
        /// What the answer bears in place of an id.
        answered_id: String,
    },
    /// The head of the answer is none that HTTP allows; the request may have been carried out.
    #[snafu(display("invalid answer: {source}; the connection is closed"))]
    InvalidAnswer {
        /// What is not allowed.
        source: InvalidHead,
    },
    /// The target sent too much that is no content; the request may have been carried out.
    #[snafu(display("{bytes} bytes without content {part}; the connection is closed"))]
    NoContent {
        /// Bytes that were read since the request, or since the last content.
        bytes: u64,
        /// Where they were read.
        part: MessagePart,
    },
    /// The exchange failed after the request may have been sent.
    #[snafu(display("exchange failed after the request may have been sent: {source}"))]
    ExchangeFailed {
        /// Error of the HTTP connection.
        source: hyper::Error,
    },
}

impl From<ExcessOverhead> for ConnectionError {
    fn from(ExcessOverhead { bytes, part }: ExcessOverhead) -> Self {
        Self::NoContent { bytes, part }
    }
}

impl ConnectionError {
    /// Why the answer is none that the protocol allows; `None` if there was no answer, or another
    /// request's.
    pub fn invalid_answer(&self) -> Option<&'static str> {
        match self {
            Self::InvalidAnswer { source } => Some(source.reason()),
            Self::NoContent { .. } => Some("no content"),
            Self::ExchangeFailed { source } if source.is_parse() => Some("malformed"),
            _ => None,
        }
    }

    /// Whether the request may have reached the target.
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. } | Self::ConnectTimeout { .. } | Self::Closed => Verdict::NotRun,
            Self::OtherAnswer { .. }
            | Self::InvalidAnswer { .. }
            | Self::NoContent { .. }
            | Self::ExchangeFailed { .. } => Verdict::MayHaveRun,
        }
    }
}
