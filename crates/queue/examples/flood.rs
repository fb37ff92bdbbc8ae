//! One organisation floods the queue; another with three times its weight joins later.
//!
//! Run with `cargo run -p celeryhaven-queue --example flood`.

use celeryhaven_queue::{FairQueue, FlowKey, QueueEntry, QueueFull};
use celeryhaven_types::{Priority, TimeMs};

const FLOW_NAMES: [&str; 2] = ["flooding", "modest"];

fn entry(flow: FlowKey, latest_start: TimeMs) -> QueueEntry {
    QueueEntry { flow, cost_ms: 100, latest_start, priority: Priority::new(0), worth: 1, tier: 0 }
}

fn main() -> Result<(), QueueFull> {
    let [flooding, modest] = [FlowKey::new(0), FlowKey::new(1)];
    let mut queue = FairQueue::new(20);
    queue.set_weight(modest, 3);

    for key in 0..12 {
        queue.push(key, entry(flooding, TimeMs::new(1_000 + key)))?;
    }
    for _ in 0..2 {
        println!("alone:    {:?}", queue.pop().map(|(key, _)| key));
    }
    for key in 100..106 {
        queue.push(key, entry(modest, TimeMs::new(30_000 + key)))?;
    }
    println!("shares:   {:.2} and {:.2}", queue.share(flooding), queue.share(modest));
    for _ in 0..8 {
        let Some((key, taken)) = queue.pop() else { break };
        println!("together: {key:>3} of {}", FLOW_NAMES[taken.flow.get() as usize]);
    }

    let now = TimeMs::new(1_010);
    while let Some((key, _)) = queue.pop_overdue(now) {
        println!("overdue:  {key} can no longer be answered in time");
    }
    for key in 200.. {
        if let Err(full) = queue.push(key, entry(modest, TimeMs::new(60_000))) {
            println!("refused:  {key}: {full}");
            break;
        }
    }
    Ok(())
}
