use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use snafu::Snafu;

use crate::socket::{ExcessOverhead, MessagePart, ReadMeter};

/// The body of a message as it is received.
#[derive(Debug)]
pub struct IncomingBody {
    incoming: Incoming,
    meter: ReadMeter,
}

/// A body that was not received up to its end.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection failed, or the body is framed in a way that the protocol does not allow.
    #[snafu(display("body broke off: {source}"))]
    BrokenOff {
        /// Error of the HTTP connection.
        source: hyper::Error,
    },
    /// The peer sent too much that is no content.
    #[snafu(display("{bytes} bytes without content {part}; the connection is closed"))]
    NoContent {
        /// Bytes since the last content.
        bytes: u64,
        /// Where they were read.
        part: MessagePart,
    },
}

impl BodyError {
    /// Why the body is none that the protocol allows; `None` if its connection failed.
    pub fn invalid_answer(&self) -> Option<&'static str> {
        match self {
            Self::NoContent { .. } => Some("no content"),
            Self::BrokenOff { .. } => None,
        }
    }
}

impl IncomingBody {
    pub(crate) fn new(incoming: Incoming, meter: ReadMeter) -> Self {
        meter.enter(MessagePart::Body);
        Self { incoming, meter }
    }
}

impl Body for IncomingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        Poll::Ready(frame.map(|frame| match frame {
            Ok(frame) => {
                if frame.is_data() {
                    self.meter.enter(MessagePart::Body);
                }
                Ok(frame)
            }
            Err(source) => Err(match self.meter.excess() {
                Some(ExcessOverhead { bytes, part }) => BodyError::NoContent { bytes, part },
                None => BodyError::BrokenOff { source },
            }),
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
