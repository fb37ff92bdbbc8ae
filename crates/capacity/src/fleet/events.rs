use std::cmp::Ordering;

use celeryhaven_node::EntryEvent;

/// Something that happens to a node at an instant.
pub(crate) struct Due {
    pub(crate) at_us: u64,
    pub(crate) order: u64,
    pub(crate) node: usize,
    pub(crate) event: EntryEvent,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    /// The earliest is the greatest, as a heap gives the greatest first.
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
