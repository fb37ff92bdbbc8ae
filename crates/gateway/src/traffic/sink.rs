use async_channel::{Receiver, Sender, bounded};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// Pieces of an answer that wait for a caller who reads slowly.
///
/// Load: callers that stop reading. Harm: each piece read from the target is held here. Limit: a
/// few events, so that the target is read no faster than its caller reads.
const WAITING_PIECES: usize = 8;

/// Status and headers of an answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerParts {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The body, if it is known whole; pieces follow otherwise.
    pub(crate) whole: Option<Bytes>,
}

/// One step of an answer's body.
#[derive(Clone, Debug)]
pub(crate) enum Piece {
    /// More of it.
    Data(Bytes),
    /// It is whole.
    End,
}

/// Where an exchange puts its answer.
#[derive(Debug)]
pub(crate) struct AnswerSink {
    parts: Sender<AnswerParts>,
    pieces: Sender<Piece>,
    begun: bool,
}

/// A sink, and the ends at which the answer comes out.
pub(crate) fn sink() -> (AnswerSink, Receiver<AnswerParts>, Receiver<Piece>) {
    let (parts, parts_out) = bounded(1);
    let (pieces, pieces_out) = bounded(WAITING_PIECES);
    (AnswerSink { parts, pieces, begun: false }, parts_out, pieces_out)
}

impl AnswerSink {
    /// Whether the caller has the head of an answer.
    pub(crate) fn has_begun(&self) -> bool {
        self.begun
    }

    /// Gives the head of the answer; a caller that has left is noticed by the exchange's end.
    pub(crate) async fn begin(&mut self, parts: AnswerParts) {
        self.begun = true;
        self.parts.send(parts).await.unwrap_or_default();
    }

    /// Gives more of the body.
    pub(crate) async fn piece(&self, bytes: Bytes) {
        self.pieces.send(Piece::Data(bytes)).await.unwrap_or_default();
    }

    /// Says that the body is whole; a sink that is dropped without it leaves a broken answer.
    pub(crate) async fn end(&self) {
        self.pieces.send(Piece::End).await.unwrap_or_default();
    }
}
