//! From an operator's plan to serving replicas, without faults.

mod controllers;

use celeryhaven_types::{FencingMode, OperatorReply, OperatorRequest};
use controllers::{World, deployment, intent};

#[test]
fn confirm_intent_replicas_serve() {
    let mut world = World::new(3, 3, 5, FencingMode::Checked);
    let record = world.declare(0, &intent(vec![deployment("draft", 6, 5)]));
    assert_eq!(record.number.get(), 1);
    let took_ms = world.run_until("all serve", |world| world.serving() == 6);
    println!(
        "six replicas in three domains serve {took_ms} ms after confirmation, loading takes 5000"
    );
    assert!(took_ms < 30_000);
}

#[test]
fn status_and_audit_show_current_state() {
    let mut world = World::new(3, 2, 5, FencingMode::Checked);
    world.declare(0, &intent(vec![deployment("draft", 4, 5)]));
    world.declare(1, &intent(vec![deployment("draft", 5, 5)]));
    world.run_until("all serve", |world| world.serving() == 4);
    let ticket = world.ask(2, "bela", OperatorRequest::Status);
    let OperatorReply::Status(status) = world.wait_for(ticket) else { panic!("no status") };
    assert_eq!(status.config_number.get(), 2);
    assert_eq!(status.domains.len(), 2);
    assert_eq!(status.leases.len(), 3);
    assert_eq!(status.replicas_unplaced, 1);
    let ticket = world.ask(2, "bela", OperatorRequest::Audit { last: 10 });
    let OperatorReply::Audit(records) = world.wait_for(ticket) else { panic!("no audit") };
    let numbers: Vec<u64> = records.iter().map(|record| record.number.get()).collect();
    assert_eq!(numbers, [2, 1]);
    assert_eq!(records[0].operator.as_str(), "anna");
}

/// The status reports replicas of an unreachable domain as serving.
#[test]
fn status_shows_broken_replicas_of_unreachable_domain() {
    let mut world = World::new(3, 2, 5, FencingMode::Checked);
    world.declare(0, &intent(vec![deployment("draft", 4, 5)]));
    world.run_until("all serve", |world| world.serving() == 4);
    world.run_ms(10_000);
    let unreachable = world.members.values_mut().filter(|m| m.vm.as_str().starts_with("vm-1"));
    unreachable.for_each(|member| member.alive = false);
    world.run_ms(10_000);
    let ticket = world.ask(0, "anna", OperatorRequest::Status);
    let OperatorReply::Status(status) = world.wait_for(ticket) else { panic!("no status") };
    let broken: Vec<usize> = status.domains.iter().map(|domain| domain.broken.len()).collect();
    assert_eq!(broken, [0, 2]);
}
