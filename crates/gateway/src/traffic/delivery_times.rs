use celeryhaven_types::TimeMs;

/// Times at which the chunks of an answer were sent to the caller.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DeliveryTimes {
    /// When the request was first sent to a target.
    pub(crate) sent_at: Option<TimeMs>,
    /// When the first chunk was sent to the caller.
    pub(crate) first_at: Option<TimeMs>,
    last_at: Option<TimeMs>,
    /// The longest time between two chunks, in milliseconds.
    pub(crate) longest_pause_ms: u64,
}

impl DeliveryTimes {
    /// Records that the request was sent to a target.
    pub(crate) fn record_sent(&mut self, now: TimeMs) {
        self.sent_at.get_or_insert(now);
    }

    /// Records that a chunk was sent to the caller.
    pub(crate) fn record_chunk(&mut self, now: TimeMs) {
        self.first_at.get_or_insert(now);
        let pause_ms = self.last_at.replace(now).map_or(0, |last| now.since(last));
        self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
    }
}
