use std::task::{Context, Poll};

/// Reads that may succeed one after the other before a connection yields.
const READS_PER_TURN: u32 = 4;

/// Decides when a connection yields to the other tasks of its thread.
///
/// ```
/// use std::task::{Context, Poll, Waker};
/// use celeryhaven_fair_io::ReadTurns;
/// let mut cx = Context::from_waker(Waker::noop());
/// let mut turns = ReadTurns::default();
/// let mut is_ready = || turns.poll_read(&mut cx, |_| Poll::Ready(())).is_ready();
/// let reads: Vec<bool> = (0..6).map(|_| is_ready()).collect();
/// assert_eq!(reads, [true, true, true, true, false, true]);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadTurns {
    /// Reads that have succeeded since the connection last had to wait, or yielded.
    reads: u32,
}

impl ReadTurns {
    /// Polls a read, unless it is the turn of other tasks; the task is woken again at once then.
    pub fn poll_read<T>(
        &mut self,
        cx: &mut Context<'_>,
        read: impl FnOnce(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        if self.reads >= READS_PER_TURN {
            self.reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = read(cx);
        self.reads = if polled.is_ready() { self.reads + 1 } else { 0 };
        polled
    }
}
