//! Targets that stop for a while, whose hosts go on accepting connections.

mod common;

use celeryhaven_fleet::{TargetOrder, TargetPhase};
use celeryhaven_types::VmName;
use common::Simulation;

/// Time in which the targets of a domain form their replicas.
const FORMING_MS: u64 = 40_000;

/// Silence of a target after which it counts as lost.
const LOST_AFTER_MS: u64 = 4_000;

fn formed(targets: usize) -> Simulation {
    let mut sim = Simulation::new(targets);
    sim.run_ms(FORMING_MS);
    assert!(!sim.members_of("large").is_empty());
    sim
}

fn leaves(sim: &Simulation, targets: &[VmName]) -> usize {
    let orders = targets.iter().flat_map(|name| &sim.targets[name].orders);
    orders.filter(|order| matches!(order, TargetOrder::Leave { .. })).count()
}

/// A replica must not be taken apart because its head, or another member, stopped for a while.
#[test]
fn silent_member_keeps_its_replica() {
    for (silence_ms, rank) in [(600, 0), (1_200, 0), (2_000, 0), (3_000, 0), (2_000, 2)] {
        let mut sim = formed(8);
        let members = sim.members_of("large");
        let before = leaves(&sim, &members);
        sim.stop(&members[rank]);
        sim.suspect(&members[0]);
        sim.run_ms(silence_ms);
        assert_eq!(sim.resume(&members[rank]), []);
        sim.run_ms(5_000);
        assert_eq!(sim.members_of("large"), members, "{silence_ms} ms, rank {rank}");
        assert_eq!(leaves(&sim, &members), before, "{silence_ms} ms, rank {rank}");
    }
}

/// A head that is silent when it is to close must not find a leave on waking.
#[test]
fn silent_head_of_closing_replica() {
    let mut sim = formed(4);
    let members = sim.members_of("large");
    sim.stop(&members[0]);
    if let Some(fake) = sim.targets.get_mut(&members[1]) {
        fake.entry.phase = TargetPhase::Draining;
    }
    for _ in 0..3 {
        sim.suspect(&members[0]);
        sim.run_ms(1_000);
    }
    assert_eq!(leaves(&sim, &members), 0);
    let orders = sim.resume(&members[0]);
    assert!(orders.iter().all(|order| matches!(order, TargetOrder::Close { .. })), "{orders:?}");
    sim.run_ms(2_000);
    assert_eq!(sim.closing_heads(), [members[0].clone()]);
    sim.finish_requests(&members[0]);
    sim.run_ms(2_000);
    assert!(leaves(&sim, &members) > 0);
}

/// A member whose entry lapsed while it was silent is not leaving: its entry comes back with its next
/// report.
#[test]
fn silent_member_whose_entry_lapses() {
    for rank in [0, 2] {
        let mut sim = formed(8);
        let members = sim.members_of("large");
        sim.stop(&members[rank]);
        sim.suspect(&members[0]);
        sim.run_ms(2_400);
        sim.unlist(&members[rank]);
        sim.run_ms(600);
        sim.resume(&members[rank]);
        sim.run_ms(1_200);
        sim.list_again(&members[rank]);
        sim.run_ms(5_000);
        assert_eq!(sim.members_of("large"), members, "rank {rank}");
        assert_eq!(leaves(&sim, &members), 0, "rank {rank}");
    }
}

/// A target that never goes on is lost in the end, and learns of it only once it answers.
#[test]
fn silent_head_for_ever() {
    let mut sim = formed(8);
    let members = sim.members_of("large");
    sim.stop(&members[0]);
    sim.suspect(&members[0]);
    sim.run_ms(LOST_AFTER_MS - 500);
    assert_eq!(leaves(&sim, &members[1..]), 0);
    sim.run_ms(2_500);
    assert!(members[1..].iter().all(|name| leaves(&sim, std::slice::from_ref(name)) > 0));
    let lying = sim.resume(&members[0]);
    assert!(!lying.iter().any(|order| matches!(order, TargetOrder::Join { .. })), "{lying:?}");
}

/// A silent target is in no plan.
#[test]
fn silent_target_joins_nothing() {
    let mut sim = formed(9);
    let free = sim.targets.values().find(|fake| fake.entry.membership.is_none());
    let free = free.map(|fake| fake.entry.name.clone()).expect("eight of nine targets serve");
    let members = sim.members_of("large");
    sim.stop(&free);
    sim.suspect(&members[0]);
    let lost = celeryhaven_forming::FormingEvent::LossReported { target: free.clone() };
    sim.handle(0, lost);
    sim.kill(&members[3]);
    sim.suspect(&members[0]);
    sim.run_ms(2_000);
    let orders = sim.resume(&free);
    assert!(!orders.iter().any(|order| matches!(order, TargetOrder::Join { .. })), "{orders:?}");
}

/// A head whose paths reset must not be joined to another replica before it has carried out its leave.
#[test]
fn resetting_head_has_not_left() {
    for (targets, reset_ms) in [(4, 600), (8, 600), (8, 6_000), (9, 16_000)] {
        let mut sim = formed(targets);
        let members = sim.members_of("large");
        sim.set_resetting(&members[0], true);
        sim.suspect(&members[0]);
        sim.run_ms(reset_ms);
        sim.set_resetting(&members[0], false);
        sim.run_ms(30_000);
        assert!(sim.serving().values().sum::<usize>() > 0, "{targets} targets, {reset_ms} ms");
    }
}
