use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;

/// Bytes of answers that callers have not taken yet, of all requests of a node.
#[derive(Clone, Debug)]
pub(crate) struct UnreadAnswers {
    bytes: Rc<Cell<u64>>,
    limit_bytes: u64,
}

/// A chunk of an answer, which counts until it is taken or dropped.
#[derive(Debug)]
pub(crate) struct UnreadChunk {
    bytes: Bytes,
    length_bytes: u64,
    all: Rc<Cell<u64>>,
}

impl UnreadAnswers {
    /// Creates the count of a node whose callers may leave this many bytes unread.
    pub(crate) fn new(limit_bytes: u64) -> Self {
        Self { bytes: Rc::default(), limit_bytes }
    }

    /// Whether no more should be read from targets for callers that leave their answers unread.
    pub(crate) fn is_full(&self) -> bool {
        self.bytes.get() >= self.limit_bytes
    }

    /// Returns the bytes that callers have not taken.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// Counts a chunk.
    pub(crate) fn count(&self, bytes: Bytes) -> UnreadChunk {
        let length_bytes = bytes.len() as u64;
        self.bytes.set(self.bytes.get() + length_bytes);
        UnreadChunk { bytes, length_bytes, all: self.bytes.clone() }
    }
}

impl UnreadChunk {
    /// Takes the bytes for the caller.
    pub(crate) fn take(mut self) -> Bytes {
        std::mem::take(&mut self.bytes)
    }
}

impl Drop for UnreadChunk {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.length_bytes);
    }
}
