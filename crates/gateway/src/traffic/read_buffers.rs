use std::cell::Cell;
use std::rc::Rc;

/// Most bytes of answers that all requests of a node hold back together, until an event or a plain
/// answer is complete.
const HELD_BYTES_MAX: usize = 16 * 1024 * 1024;

/// The bytes of answers that the requests of a node hold back.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadBuffers {
    held_bytes: Rc<Cell<usize>>,
}

/// The part of one request, which ends with it.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    all: ReadBuffers,
    bytes: usize,
}

impl ReadBuffers {
    /// Creates the part of a request that holds nothing back yet.
    pub(crate) fn part(&self) -> HeldBytes {
        HeldBytes { all: self.clone(), bytes: 0 }
    }
}

impl HeldBytes {
    /// Sets how many bytes the request holds back; returns false if that is too much for the node.
    pub(crate) fn set(&mut self, bytes: usize) -> bool {
        let held = self.all.held_bytes.get() - self.bytes + bytes;
        self.all.held_bytes.set(held);
        self.bytes = bytes;
        held <= HELD_BYTES_MAX
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
