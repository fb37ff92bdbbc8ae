use std::cell::Cell;
use std::rc::Rc;

/// Connections of a listener.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    open: Cell<usize>,
    accepted: Cell<u64>,
}

impl ConnectionCounts {
    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns the number of connections that were ever accepted.
    pub fn accepted(&self) -> u64 {
        self.accepted.get()
    }

    /// Counts a connection as open until the guard is dropped.
    pub(super) fn accept(counts: &Rc<Self>) -> OpenGuard {
        counts.open.set(counts.open.get() + 1);
        counts.accepted.set(counts.accepted.get() + 1);
        OpenGuard(counts.clone())
    }
}

/// Counts a connection as open until it is dropped.
pub(super) struct OpenGuard(Rc<ConnectionCounts>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}
