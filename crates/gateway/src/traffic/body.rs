use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use smol::Task;
use snafu::Snafu;

use crate::traffic::AnswerChunks;
use crate::traffic::sink::Chunk;

/// The answer ended before it was complete; its connection is closed without an end mark.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("answer body ended before it was complete"))]
pub(crate) struct AnswerTruncated;

/// The body of an answer; dropping it cancels the exchange.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// The complete body.
    Full(Option<Bytes>),
    /// A body that arrives in chunks.
    Chunked {
        /// The source of the chunks.
        chunks: AnswerChunks,
        /// Total length in bytes, if known.
        length_bytes: Option<u64>,
        /// Whether the last chunk has been received.
        ended: bool,
        /// The task that runs the exchange.
        exchange: Option<Task<()>>,
    },
}

impl AnswerBody {
    /// Creates a complete body.
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Creates a body from the chunks that an exchange sends, with their total length if known.
    pub(crate) fn chunked(
        chunks: AnswerChunks,
        length_bytes: Option<u64>,
        exchange: Task<()>,
    ) -> Self {
        Self::Chunked { chunks, length_bytes, ended: false, exchange: Some(exchange) }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerTruncated>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(
                bytes.take().filter(|bytes| !bytes.is_empty()).map(|b| Ok(Frame::data(b))),
            ),
            Self::Chunked { ended: true, .. } => Poll::Ready(None),
            Self::Chunked { chunks, ended, exchange, .. } => {
                match ready!(chunks.poll_next(cx)) {
                    Some(Chunk::Data(chunk)) => Poll::Ready(Some(Ok(Frame::data(chunk.take())))),
                    Some(Chunk::End) => {
                        *ended = true;
                        // The exchange has only to record its completion, which cancelling it would
                        // prevent.
                        if let Some(exchange) = exchange.take() {
                            exchange.detach();
                        }
                        Poll::Ready(None)
                    }
                    None => {
                        *ended = true;
                        Poll::Ready(Some(Err(AnswerTruncated)))
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Chunked { ended, .. } => *ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Chunked { length_bytes, .. } => {
                length_bytes.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
