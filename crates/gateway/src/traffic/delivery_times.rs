use celeryhaven_types::TimeMs;

/// When the pieces of one answer went to its caller.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DeliveryTimes {
    /// When the request first went to a target.
    pub(crate) sent_at: Option<TimeMs>,
    /// When the first piece of the answer went to the caller.
    pub(crate) first_at: Option<TimeMs>,
    last_at: Option<TimeMs>,
    /// The longest time between two pieces, in milliseconds.
    pub(crate) longest_pause_ms: u64,
}

impl DeliveryTimes {
    /// The request goes to a target.
    pub(crate) fn sent(&mut self, now: TimeMs) {
        self.sent_at.get_or_insert(now);
    }

    /// A piece of the answer goes to the caller.
    pub(crate) fn piece(&mut self, now: TimeMs) {
        self.first_at.get_or_insert(now);
        let pause_ms = self.last_at.replace(now).map_or(0, |last| now.since(last));
        self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
    }
}
