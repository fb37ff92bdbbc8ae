//! Strict order of tiers, with even service within each.

use celeryhaven_queue::{FlowKey, QueueEntry, TieredQueue};
use celeryhaven_types::{Priority, TimeMs};

fn entry(tier: u8, flow: u32, latest_start_ms: u64) -> QueueEntry {
    QueueEntry {
        flow: FlowKey::new(flow),
        cost_ms: 100,
        latest_start: TimeMs::new(latest_start_ms),
        priority: Priority::new(0),
        worth: 1,
        tier,
    }
}

/// Requests that are late already must not be served before one that can be in time, even if their
/// organisation is behind its share.
#[test]
fn next_entries_lower_tier_first() {
    let mut queue = TieredQueue::new(10);
    queue.push(1, entry(1, 0, 10)).unwrap();
    queue.push(2, entry(0, 1, 5_000)).unwrap();
    queue.push(3, entry(0, 2, 4_000)).unwrap();
    let mut order = Vec::new();
    while let Some(&(key, _)) = queue.next_entries(1).first() {
        queue.take(key);
        order.push(key);
    }
    assert_eq!(order, [2, 3, 1]);
    assert!(queue.is_empty());
}

#[test]
fn push_limit_counts_all_tiers() {
    let mut queue = TieredQueue::new(2);
    queue.push(1, entry(0, 0, 10)).unwrap();
    queue.push(2, entry(9, 0, 10)).unwrap();
    assert!(queue.push(3, entry(3, 0, 10)).is_err());
    assert_eq!(queue.cost_before_ms(9), 100);
    assert_eq!(queue.pop_overdue(TimeMs::new(11)).map(|(key, _)| key), Some(1));
    assert_eq!(queue.len(), 1);
}
