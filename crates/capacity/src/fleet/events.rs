use std::cmp::Ordering;

use celeryhaven_node::EntryEvent;

/// An event scheduled for a node.
pub(crate) struct ScheduledEvent {
    pub(crate) at_us: u64,
    pub(crate) order: u64,
    pub(crate) node: usize,
    pub(crate) event: EntryEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// Reverses the order, so that a max-heap yields the earliest event first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at_us, other.order).cmp(&(self.at_us, self.order))
    }
}

/// Whether an event belongs to a request rather than to control.
pub(crate) fn is_request(event: &EntryEvent) -> bool {
    matches!(
        event,
        EntryEvent::Arrived { .. }
            | EntryEvent::Attempt { .. }
            | EntryEvent::CallerDisconnected { .. }
    )
}
