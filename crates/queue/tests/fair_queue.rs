//! Shares, order, bounds and cost of the fair queue.

use celeryhaven_queue::{FairQueue, FlowKey, QueueEntry};
use celeryhaven_types::{Priority, TimeMs};
use quickcheck::{Arbitrary, Gen};

fn entry(flow: u32, cost_ms: u64, latest_start_ms: u64) -> QueueEntry {
    QueueEntry {
        flow: FlowKey::new(flow),
        cost_ms,
        latest_start: TimeMs::new(latest_start_ms),
        priority: Priority::new(0),
        worth: 1,
        tier: 0,
    }
}

fn filled(flows: u32, per_flow: u64) -> FairQueue<u64> {
    let mut queue = FairQueue::new(1_000_000);
    for key in 0..u64::from(flows) * per_flow {
        let flow = (key % u64::from(flows)) as u32;
        queue.push(key, entry(flow, 100, 10_000 + key)).expect("below limit");
    }
    queue
}

fn served_by_flow(queue: &mut FairQueue<u64>, count: usize, flows: usize) -> Vec<usize> {
    let mut served = vec![0; flows];
    for _ in 0..count {
        let (_, entry) = queue.pop().expect("an entry");
        served[entry.flow.get() as usize] += 1;
    }
    served
}

#[test]
fn pop_weights_by_worth() {
    let mut queue = filled(2, 400);
    queue.set_weight(FlowKey::new(0), 3);
    let served = served_by_flow(&mut queue, 400, 2);
    assert!((299..=301).contains(&served[0]), "{served:?}");
}

#[test]
fn pop_flood_does_not_delay_others() {
    // A flow with a long backlog must not delay the entries of another that become active later.
    let mut queue = FairQueue::new(10_000);
    for key in 0..5_000 {
        queue.push(key, entry(0, 100, 60_000)).unwrap();
    }
    served_by_flow(&mut queue, 100, 2);
    for key in 10_000..10_010 {
        queue.push(key, entry(1, 100, 60_000)).unwrap();
    }
    let served = served_by_flow(&mut queue, 20, 2);
    assert!(served[1] >= 9, "{served:?}");
}

#[test]
fn pop_idle_flow_saves_no_service() {
    // A flow that was idle must receive its share from now on, not all service.
    let mut queue = filled(1, 1_000);
    served_by_flow(&mut queue, 500, 2);
    for key in 10_000..10_400 {
        queue.push(key, entry(1, 100, 60_000)).unwrap();
    }
    let served = served_by_flow(&mut queue, 200, 2);
    assert!((98..=102).contains(&served[0]), "{served:?}");
}

#[test]
fn pop_serves_latest_start_first_within_flow() {
    let mut queue = FairQueue::new(10);
    queue.push(1, entry(0, 100, 9_000)).unwrap();
    queue.push(2, entry(0, 100, 3_000)).unwrap();
    assert_eq!(queue.pop().unwrap().0, 2);
}

#[test]
fn pop_low_priority_ages_past_later_urgent_work() {
    // A steady stream of urgent entries must not starve an old entry: later entries with later
    // deadlines are served after it.
    let mut queue = FairQueue::new(100);
    queue.push(0, entry(0, 100, 10_000)).unwrap();
    for key in 1..50 {
        let urgent = QueueEntry { priority: Priority::new(1), ..entry(0, 100, 10_000 + key * 500) };
        queue.push(key, urgent).unwrap();
    }
    let position = (0..50).position(|_| queue.pop().unwrap().0 == 0).unwrap();
    assert!(position <= 4, "served at position {position}");
}

#[test]
fn push_beyond_limit_is_refused() {
    let mut queue = FairQueue::new(2);
    queue.push(1, entry(0, 1, 1)).unwrap();
    queue.push(2, entry(0, 1, 1)).unwrap();
    let full = queue.push(3, entry(0, 1, 1)).unwrap_err();
    assert_eq!(full.limit, 2);
    assert_eq!(queue.len(), 2);
}

#[test]
fn pop_overdue_takes_only_what_is_late() {
    let mut queue = FairQueue::new(10);
    queue.push(1, entry(0, 1, 100)).unwrap();
    queue.push(2, entry(1, 1, 300)).unwrap();
    assert_eq!(queue.pop_overdue(TimeMs::new(200)).map(|(key, _)| key), Some(1));
    assert_eq!(queue.pop_overdue(TimeMs::new(200)), None);
    assert_eq!(queue.len(), 1);
}

#[test]
fn charge_reduces_later_service() {
    let mut queue = filled(2, 100);
    queue.charge(FlowKey::new(0), 1_000);
    let served = served_by_flow(&mut queue, 10, 2);
    assert!(served[0] <= 1, "{served:?}");
}

#[derive(Clone, Debug)]
enum Step {
    Push(u32, u64),
    Pop,
    Remove(u64),
    Overdue(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 5 {
            0 | 1 => Self::Push(u32::arbitrary(g) % 5, u64::arbitrary(g) % 5_000),
            2 => Self::Pop,
            3 => Self::Remove(u64::arbitrary(g) % 200),
            _ => Self::Overdue(u64::arbitrary(g) % 5_000),
        }
    }
}

#[test]
fn steps_any_order_keep_sums_and_entries() {
    for seed in 0..200 {
        let mut g = Gen::from_size_and_seed(200, seed);
        let steps = Vec::<Step>::arbitrary(&mut g);
        let mut queue = FairQueue::new(1_000);
        let mut expected = std::collections::BTreeMap::new();
        for (key, step) in (0_u64..).zip(steps) {
            match step {
                Step::Push(flow, at) => {
                    queue.push(key, entry(flow, at + 1, at)).unwrap();
                    expected.insert(key, at + 1);
                }
                Step::Pop => {
                    let popped = queue.pop().map(|(key, _)| key);
                    assert_eq!(popped.is_some(), !expected.is_empty());
                    popped.map(|key| expected.remove(&key).unwrap());
                }
                Step::Remove(key) => {
                    assert_eq!(queue.remove(key).is_some(), expected.remove(&key).is_some());
                }
                Step::Overdue(now) => {
                    queue
                        .pop_overdue(TimeMs::new(now))
                        .map(|(key, _)| expected.remove(&key).unwrap());
                }
            }
            assert_eq!(queue.len(), expected.len());
            assert_eq!(queue.cost_ms(), expected.values().sum::<u64>());
        }
    }
}

#[test]
fn pop_visits_do_not_grow_with_length() {
    let visits = |per_flow| {
        let mut queue = filled(10, per_flow);
        let before = queue.visits();
        served_by_flow(&mut queue, 10, 10);
        queue.visits() - before
    };
    assert_eq!(visits(1), visits(1_000));
}

#[test]
fn cost_ahead_visits_are_bounded() {
    let mut queue = FairQueue::new(100_000);
    for key in 0..50_000 {
        queue.push(key, entry(0, 10, key * 20)).unwrap();
    }
    let before = queue.visits();
    assert_eq!(queue.cost_ahead_ms(&entry(0, 10, 1_000_000)), 500_000);
    assert!(queue.visits() - before <= 128);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Counted(u64);

thread_local! {
    static COMPARISONS: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

impl Ord for Counted {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        COMPARISONS.set(COMPARISONS.get() + 1);
        self.0.cmp(&other.0)
    }
}

impl PartialOrd for Counted {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

#[test]
fn push_and_pop_comparisons_grow_as_the_logarithm() {
    // All sort keys are equal, so every comparison reaches the keys.
    let comparisons = |length: u64| {
        let mut queue = FairQueue::new(1_000_000);
        (0..length).for_each(|key| queue.push(Counted(key), entry(0, 1, 9)).expect("below limit"));
        COMPARISONS.set(0);
        for key in length..length + 100 {
            queue.push(Counted(key), entry(0, 1, 9)).expect("below limit");
            queue.pop().expect("an entry");
        }
        COMPARISONS.get() / 100
    };
    let (short, long) = (comparisons(10), comparisons(10_000));
    assert!(long <= short * 6, "{short} at 10 waiting, {long} at 10,000");
}
