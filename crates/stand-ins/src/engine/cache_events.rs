use std::collections::VecDeque;
use std::time::{Duration, Instant};

use celeryhaven_derives::data;

/// Events retained for slow readers.
const EVENTS_KEPT_MAX: usize = 4_096;

data! {
    /// A change to the prefix cache.
    #[derive(Default, Eq)]
    pub struct CacheEvent {
        /// The inserted blocks.
        pub added: Vec<u64>,
        /// The evicted blocks.
        pub removed: Vec<u64>,
    }
}

/// A log of cache events that are published with a delay, and optionally with gaps.
#[derive(Debug)]
pub struct CacheEvents {
    lag: Duration,
    gap_every: u64,
    recorded: u64,
    first_index: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl CacheEvents {
    /// Creates a log with a publication delay. One of `gap_every` events is dropped, none if zero.
    pub fn new(lag: Duration, gap_every: u64) -> Self {
        Self { lag, gap_every, recorded: 0, first_index: 0, events: VecDeque::new() }
    }

    /// Records a change, unless it is empty.
    pub fn push(&mut self, now: Instant, event: CacheEvent) {
        if event.added.is_empty() && event.removed.is_empty() {
            return;
        }
        self.recorded += 1;
        if self.gap_every > 0 && self.recorded.is_multiple_of(self.gap_every) {
            return;
        }
        self.events.push_back((now + self.lag, event));
        if self.events.len() > EVENTS_KEPT_MAX {
            self.events.pop_front();
            self.first_index += 1;
        }
    }

    /// Returns the published events from index `number` on, and the index of the next event.
    pub fn published_from(&self, index: u64, now: Instant) -> (u64, Vec<CacheEvent>) {
        let published =
            self.events.iter().take_while(|(publish_at, _)| *publish_at <= now).count() as u64;
        let next = self.first_index + published;
        let skip = index.saturating_sub(self.first_index);
        let events = self.events.iter().take(published as usize).skip(skip as usize);
        (next, events.map(|(_, event)| event.clone()).collect())
    }
}
