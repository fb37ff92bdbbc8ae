use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::Receiver;
use celeryhaven_types::{Refusal, RefusalCode};
use smol::io::AsyncRead;
use smol::stream::Stream;

use crate::exchange::{AnswerPart, End, RequestKind};
use crate::http::refusal::{error_body, message, shown_to_caller};
use crate::http::request_completion::RequestCompletion;

/// A streamed answer; dropped when its caller disconnects.
///
/// An interrupted event stream ends with an error event and without its end mark. Any other
/// interrupted answer closes its connection, so that a truncated body never looks complete.
pub(crate) struct AnswerBody {
    parts: Pin<Box<Receiver<AnswerPart>>>,
    completion: Option<RequestCompletion>,
    piece: Vec<u8>,
    read: usize,
    delivered: u64,
}

impl AnswerBody {
    pub(crate) fn new(parts: Receiver<AnswerPart>, completion: RequestCompletion) -> Self {
        let parts = Box::pin(parts);
        Self { parts, completion: Some(completion), piece: Vec::new(), read: 0, delivered: 0 }
    }

    /// Returns the last chunk, after all parts; an error if the connection must be closed.
    fn last_piece(&mut self) -> io::Result<Vec<u8>> {
        let Some(completion) = self.completion.take() else { return Ok(Vec::new()) };
        let lost = End::Refused(Refusal::may_have_run(RefusalCode::AnswerLost));
        let refusal = match completion.exchange().end().unwrap_or(lost) {
            End::Whole => {
                completion.answered(self.delivered);
                return Ok(Vec::new());
            }
            End::Refused(refusal) => refusal,
        };
        let request = &completion.exchange().request;
        let ends_with_event = request.kind == RequestKind::StreamedCompletion;
        let shown = shown_to_caller(refusal, request.kind == RequestKind::Plain);
        let body = error_body(shown, Some(&request.id), message(shown));
        completion.refused(refusal);
        match ends_with_event {
            true => Ok(format!("data: {body}\n\n").into_bytes()),
            false => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
}

impl AsyncRead for AnswerBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.read == self.piece.len() {
            self.piece = match ready!(self.parts.as_mut().poll_next(cx)) {
                Some(AnswerPart::Data(data)) => data,
                Some(AnswerPart::Head(_)) => continue,
                None if self.completion.is_none() => return Poll::Ready(Ok(0)),
                None => self.last_piece()?,
            };
            self.read = 0;
        }
        let rest = &self.piece[self.read..];
        let length = rest.len().min(buffer.len());
        buffer[..length].copy_from_slice(&rest[..length]);
        self.read += length;
        self.delivered += length as u64;
        Poll::Ready(Ok(length))
    }
}
