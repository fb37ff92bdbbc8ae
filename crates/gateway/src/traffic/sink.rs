use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::{Receiver, Sender, bounded};
use bytes::Bytes;
use futures_lite::Stream;
use http::{HeaderMap, StatusCode};

use crate::traffic::UnreadAnswers;
use crate::traffic::unread_answers::UnreadChunk;

/// Chunks buffered for a caller that reads slowly; a full buffer stops reading from the target.
const BUFFERED_CHUNKS_MAX: usize = 8;

/// Status and headers of an answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerParts {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The body, if it is complete; otherwise chunks follow.
    pub(crate) body: Option<Bytes>,
    /// Total length of the chunks in bytes, if no other attempt can add to them.
    pub(crate) length_bytes: Option<u64>,
}

/// A step of an answer body.
#[derive(Debug)]
pub(crate) enum Chunk {
    /// More data.
    Data(UnreadChunk),
    /// The end of a complete body.
    End,
}

/// The sending side of an answer.
#[derive(Debug)]
pub(crate) struct AnswerSink {
    parts: Sender<AnswerParts>,
    chunks: Sender<Chunk>,
    /// Yields after a chunk has been taken.
    taken: Receiver<()>,
    unread: UnreadAnswers,
    head_sent: bool,
    /// Whether an earlier attempt has sent the head to the caller.
    is_resumed: bool,
}

/// The receiving side of the body of an answer.
#[derive(Debug)]
pub(crate) struct AnswerChunks {
    chunks: Pin<Box<Receiver<Chunk>>>,
    taken: Sender<()>,
}

/// Creates a sink and the receivers of its head and chunks.
pub(crate) fn answer_sink(
    unread: &UnreadAnswers,
) -> (AnswerSink, Receiver<AnswerParts>, AnswerChunks) {
    let (parts, parts_receiver) = bounded(1);
    let (chunks, chunks_receiver) = bounded(BUFFERED_CHUNKS_MAX);
    let (taken_sender, taken) = bounded(1);
    let unread = unread.clone();
    (
        AnswerSink { parts, chunks, taken, unread, head_sent: false, is_resumed: false },
        parts_receiver,
        AnswerChunks { chunks: Box::pin(chunks_receiver), taken: taken_sender },
    )
}

impl AnswerChunks {
    /// Polls for the next chunk; it is `None` if the sink was dropped.
    pub(crate) fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Chunk>> {
        let chunk = ready!(self.chunks.as_mut().poll_next(cx));
        // A full channel has the same meaning.
        self.taken.try_send(()).unwrap_or_default();
        Poll::Ready(chunk)
    }

    /// Returns the next chunk; `None` if the sink was dropped.
    pub(crate) async fn next(&mut self) -> Option<Chunk> {
        poll_fn(|cx| self.poll_next(cx)).await
    }
}

impl AnswerSink {
    /// Makes this the sink of an attempt beside another that may have sent the head to the caller.
    pub(crate) fn with_resumed(self, is_resumed: bool) -> Self {
        Self { is_resumed, ..self }
    }

    /// Whether the caller has a head already, of this attempt or of an earlier one.
    pub(crate) fn is_begun(&self) -> bool {
        self.head_sent || self.is_resumed
    }

    /// Whether the head has been sent to the caller.
    pub(crate) fn head_sent(&self) -> bool {
        self.head_sent
    }

    /// Sends the head; if the caller has disconnected, the exchange is dropped.
    pub(crate) async fn send_head(&mut self, parts: AnswerParts) {
        self.head_sent = true;
        self.parts.send(parts).await.unwrap_or_default();
    }

    /// Sends a chunk of the body.
    ///
    /// While all callers together leave too much unread, each has one chunk at a time.
    pub(crate) async fn send_chunk(&self, bytes: Bytes) {
        while self.unread.is_full() && !self.chunks.is_empty() {
            if self.taken.recv().await.is_err() {
                break;
            }
        }
        let chunk = Chunk::Data(self.unread.count(bytes));
        self.chunks.send(chunk).await.unwrap_or_default();
    }

    /// Marks the body as complete; dropping the sink without this truncates the answer.
    pub(crate) async fn finish(&self) {
        self.chunks.send(Chunk::End).await.unwrap_or_default();
    }
}
