use std::cell::Cell;
use std::fmt;
use std::io;
use std::rc::Rc;

/// Most bytes that a connection reads one after the other without any content.
///
/// Twice the longest head, so that interim heads may precede one.
const OVERHEAD_BYTES_MAX: u64 = 128 * 1024;

/// Where in a message a connection reads bytes that are no content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MessagePart {
    /// Before the head of the message is complete.
    #[default]
    Head,
    /// In the framing of its body, or in its trailer.
    Body,
}

/// Bounds what a connection reads without content: interim heads, framing of chunks, trailers.
///
/// The socket counts what it reads; whoever takes a head or content starts the count anew. Clones
/// share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadMeter {
    count: Rc<Count>,
}

#[derive(Debug, Default)]
struct Count {
    overhead_bytes: Cell<u64>,
    part: Cell<MessagePart>,
}

/// A connection has read too much without content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ExcessOverhead {
    pub(crate) part: MessagePart,
    pub(crate) bytes: u64,
}

impl ReadMeter {
    /// Starts the count anew, in this part of a message.
    pub(crate) fn enter(&self, part: MessagePart) {
        self.count.overhead_bytes.set(0);
        self.count.part.set(part);
    }

    /// Counts bytes that were read.
    pub(crate) fn record_read(&self, bytes: usize) {
        self.count.overhead_bytes.update(|read| read + bytes as u64);
    }

    /// Returns the excess, if no more may be read.
    pub(crate) fn excess(&self) -> Option<ExcessOverhead> {
        let bytes = self.count.overhead_bytes.get();
        (bytes >= OVERHEAD_BYTES_MAX).then(|| ExcessOverhead { part: self.count.part.get(), bytes })
    }
}

impl fmt::Display for MessagePart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Head => "before the end of a head",
            Self::Body => "in a body",
        })
    }
}

impl fmt::Display for ExcessOverhead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes without content {}", self.bytes, self.part)
    }
}

impl std::error::Error for ExcessOverhead {}

impl From<ExcessOverhead> for io::Error {
    fn from(excess: ExcessOverhead) -> Self {
        Self::new(io::ErrorKind::InvalidData, excess)
    }
}
