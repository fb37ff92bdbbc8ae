//! Requests are sent to targets that cache their prefix, also when every slot is in use.

mod simulator;

use celeryhaven_types::RequestHead;
use simulator::{Simulator, head};

/// Returns a request whose prompt consists mostly of this prefix.
fn with_prefix(prefix: u64) -> RequestHead {
    RequestHead {
        prompt_tokens: 4_096,
        prefix_hashes: (0..32).map(|block| prefix * 100 + block).collect(),
        choice_key: None,
        ..head("a", 50, 60_000)
    }
}

#[test]
fn prefix_indexed_is_sent_to_its_target() {
    let mut sim = Simulator::new(8, 4);
    for ticket in 0..8 {
        sim.submit(ticket, &with_prefix(ticket));
        sim.run_until(sim.now_ms + 1_000);
    }
    for ticket in 10..18 {
        sim.submit(ticket, &with_prefix(ticket - 10));
        sim.run_until(sim.now_ms + 1_000);
        assert_eq!(sim.dispatched[&ticket], sim.dispatched[&(ticket - 10)]);
    }
}

#[test]
fn prefix_of_restarted_target_is_removed() {
    let mut sim = Simulator::new(2, 4);
    sim.submit(0, &with_prefix(1));
    sim.run_until(2_000);
    let target = sim.dispatched[&0][0];
    sim.target_down(target);
    sim.target_up(target, 4);
    let targets: std::collections::BTreeSet<_> = (1..20)
        .map(|ticket| {
            sim.submit(ticket, &with_prefix(100 + ticket));
            sim.run_until(sim.now_ms + 2_000);
            sim.dispatched[&ticket][0]
        })
        .collect();
    assert_eq!(targets.len(), 2);
}

#[test]
fn free_slot_receives_waiting_request_with_cached_prefix() {
    // All slots are in use. A target that becomes free must receive the waiting request whose
    // prefix it caches, not the next one in strict order.
    let mut sim = Simulator::new(2, 1);
    sim.submit(0, &with_prefix(7));
    sim.submit(1, &with_prefix(8));
    for ticket in 2..10 {
        sim.submit(ticket, &with_prefix(if ticket < 6 { 8 } else { 7 }));
    }
    sim.run_until(30_000);
    sim.assert_all_finished();
    let cached = (2..10)
        .filter(|ticket| sim.dispatched[ticket] == sim.dispatched[&u64::from(*ticket < 6)])
        .count();
    assert!(cached >= 7, "{cached} of 8");
}
