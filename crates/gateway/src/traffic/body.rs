use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::Stream;
use http_body::{Body, Frame, SizeHint};
use smol::Task;
use snafu::Snafu;

use crate::traffic::sink::Piece;

/// An answer that ends before it is whole; its connection is closed without an end mark.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the answer broke off"))]
pub(crate) struct AnswerBroken;

/// The body of an answer; dropping it cancels the exchange.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// Known whole.
    Whole(Option<Bytes>),
    /// In pieces.
    Pieces {
        /// Where they come from.
        pieces: Pin<Box<Receiver<Piece>>>,
        /// Whether the last one has come.
        ended: bool,
        /// The exchange.
        exchange: Option<Task<()>>,
    },
}

impl AnswerBody {
    /// A body that is known whole.
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// A body whose pieces an exchange sends.
    pub(crate) fn pieces(pieces: Receiver<Piece>, exchange: Task<()>) -> Self {
        Self::Pieces { pieces: Box::pin(pieces), ended: false, exchange: Some(exchange) }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBroken>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(
                bytes.take().filter(|bytes| !bytes.is_empty()).map(|b| Ok(Frame::data(b))),
            ),
            Self::Pieces { ended: true, .. } => Poll::Ready(None),
            Self::Pieces { pieces, ended, exchange } => {
                match ready!(pieces.as_mut().poll_next(cx)) {
                    Some(Piece::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                    Some(Piece::End) => {
                        *ended = true;
                        // It has only its records left to write; cancelled, it would lose them.
                        if let Some(exchange) = exchange.take() {
                            exchange.detach();
                        }
                        Poll::Ready(None)
                    }
                    None => {
                        *ended = true;
                        Poll::Ready(Some(Err(AnswerBroken)))
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Pieces { ended, .. } => *ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Pieces { .. } => SizeHint::default(),
        }
    }
}
