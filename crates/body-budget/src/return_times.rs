use std::collections::VecDeque;

use celeryhaven_types::TimeMs;

/// Most refused bodies that are remembered.
const RETURNS_MAX: usize = 256;

/// Bodies that were refused, and when their callers were told to come back.
///
/// A later one is told to come after them, so that they do not all come back for the same room.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReturnTimes {
    returns: VecDeque<Return>,
}

#[derive(Clone, Copy, Debug)]
struct Return {
    at: TimeMs,
    rank: u8,
    bytes: u64,
}

impl ReturnTimes {
    /// Records a refused body.
    pub(crate) fn record(&mut self, at: TimeMs, rank: u8, bytes: u64) {
        if self.returns.len() == RETURNS_MAX {
            self.returns.pop_front();
        }
        self.returns.push_back(Return { at, rank, bytes });
    }

    /// Returns the bytes that are expected back and come before a body of this rank.
    pub(crate) fn bytes_before(&mut self, now: TimeMs, rank: u8) -> u64 {
        self.returns.retain(|returned| returned.at > now);
        let before = self.returns.iter().filter(|returned| returned.rank <= rank);
        before.map(|returned| returned.bytes).sum()
    }
}
