use std::collections::VecDeque;

/// Bodies whose times are remembered.
const BODIES_MAX: usize = 32;

/// How long it took lately to read long bodies of callers that send fast.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadTimes {
    latest_ms: VecDeque<u64>,
}

impl ReadTimes {
    /// Records that a body was read within this time.
    pub(crate) fn record(&mut self, took_ms: u64) {
        if self.latest_ms.len() == BODIES_MAX {
            self.latest_ms.pop_front();
        }
        self.latest_ms.push_back(took_ms);
    }

    /// Returns the longest of these times, in milliseconds; 0 if there is none.
    pub(crate) fn longest_ms(&self) -> u64 {
        self.latest_ms.iter().copied().max().unwrap_or(0)
    }
}
