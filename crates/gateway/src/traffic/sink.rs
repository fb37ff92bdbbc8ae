use async_channel::{Receiver, Sender, bounded};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// Chunks buffered for a caller that reads slowly; a full buffer stops reading from the target.
const BUFFERED_CHUNKS_MAX: usize = 8;

/// Status and headers of an answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerParts {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The body, if it is complete; otherwise chunks follow.
    pub(crate) body: Option<Bytes>,
}

/// A step of an answer body.
#[derive(Clone, Debug)]
pub(crate) enum Chunk {
    /// More data.
    Data(Bytes),
    /// The end of a complete body.
    End,
}

/// The sending side of an answer.
#[derive(Debug)]
pub(crate) struct AnswerSink {
    parts: Sender<AnswerParts>,
    chunks: Sender<Chunk>,
    head_sent: bool,
    /// Whether an earlier attempt has sent the head to the caller.
    is_resumed: bool,
}

/// Creates a sink and the receivers of its head and chunks.
pub(crate) fn answer_sink() -> (AnswerSink, Receiver<AnswerParts>, Receiver<Chunk>) {
    let (parts, parts_receiver) = bounded(1);
    let (chunks, chunks_receiver) = bounded(BUFFERED_CHUNKS_MAX);
    (
        AnswerSink { parts, chunks, head_sent: false, is_resumed: false },
        parts_receiver,
        chunks_receiver,
    )
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
    pub(crate) async fn send_chunk(&self, bytes: Bytes) {
        self.chunks.send(Chunk::Data(bytes)).await.unwrap_or_default();
    }

    /// Marks the body as complete; dropping the sink without this truncates the answer.
    pub(crate) async fn finish(&self) {
        self.chunks.send(Chunk::End).await.unwrap_or_default();
    }
}
