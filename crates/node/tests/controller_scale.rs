//! Load of controllers on the Object API, and moves of replicas between fabric domains.

mod controllers;

use std::cell::RefCell;
use std::rc::Rc;

use celeryhaven_types::FencingMode;
use celeryhaven_types::store::StoreRequest;
use controllers::{StoreFault, World, deployment, intent};

/// Returns reads and writes per second of an idle fleet.
fn idle_calls_per_s(controllers: usize, domains: usize) -> (f64, f64) {
    let mut world = World::new(controllers, domains, 5, FencingMode::Checked);
    world.declare(0, &intent(vec![deployment("draft", domains as u32 * 2, 5)]));
    world.run_until("all serve", |world| world.serving() == domains * 2);
    world.run_ms(10_000);
    let counts = Rc::new(RefCell::new((0_u32, 0_u32)));
    let shared = counts.clone();
    world.fault = Box::new(move |request| {
        let mut counts = shared.borrow_mut();
        match request {
            StoreRequest::Get { .. } | StoreRequest::List { .. } => counts.0 += 1,
            _ => counts.1 += 1,
        }
        StoreFault::None
    });
    world.run_ms(20_000);
    let (reads, writes) = *counts.borrow();
    (f64::from(reads) / 20.0, f64::from(writes) / 20.0)
}

/// The load on the Object API exceeds its limits as the fleet grows; writes must not grow with the
/// number of controllers.
#[test]
fn idle_fleet_stays_within_store_budget() {
    println!("{:>12} {:>8} {:>10} {:>10}", "controllers", "domains", "reads/s", "writes/s");
    let runs = [(8, 3), (40, 10), (120, 28), (340, 28)].map(|(controllers, domains)| {
        let (reads, writes) = idle_calls_per_s(controllers, domains);
        println!("{controllers:>12} {domains:>8} {reads:>10.1} {writes:>10.1}");
        (reads, writes)
    });
    let [_, _, (_, writes_120), (reads_340, writes_340)] = runs;
    assert!(reads_340 < 400.0, "reads exceed a fifth of the limit");
    assert!(writes_340 < 30.0 && writes_340 < writes_120 * 1.1, "writes grow with controllers");
}

/// A replica moves to another domain and back when VMs are absent for less than the hold time.
#[test]
fn short_absence_of_vms_moves_no_replica() {
    let mut world = World::new(3, 2, 6, FencingMode::Checked);
    world.declare(0, &intent(vec![deployment("draft", 3, 5)]));
    world.run_until("all serve", |world| world.serving() == 3);
    world.run_ms(5_000);
    let domains_of = |world: &World| -> Vec<String> {
        world.replicas().iter().map(|replica| replica.name.to_string()).collect()
    };
    let before = domains_of(&world);
    let list = world.list.clone();
    world.list.retain(|entry| !entry.vm.as_str().starts_with("vm-1-"));
    let removed = world.members.values_mut().filter(|m| m.vm.as_str().starts_with("vm-1-"));
    removed.for_each(|member| member.alive = false);
    world.run_ms(30_000);
    world.list = list;
    let absent = world.members.values_mut().filter(|member| !member.alive);
    absent.for_each(controllers::FakeMember::restart);
    world.run_until("all serve", |world| world.serving() == 3);
    assert_eq!(domains_of(&world), before);
}

/// Replicas of a lost domain are not re-formed elsewhere, or move back when the domain returns.
#[test]
fn lost_domain_moves_its_replicas_once() {
    let mut world = World::new(3, 2, 6, FencingMode::Checked);
    world.declare(0, &intent(vec![deployment("draft", 3, 5)]));
    world.run_until("all serve", |world| world.serving() == 3);
    world.run_ms(5_000);
    let list = world.list.clone();
    let holds = |world: &World, domain: &str| {
        let placements = world.placements();
        let of = placements.iter().find(|placement| placement.domain.as_str() == domain);
        of.map_or(0, |placement| placement.replicas.len())
    };
    let lost = if holds(&world, "f1") > 0 { "vm-1-" } else { "vm-0-" };
    world.list.retain(|entry| !entry.vm.as_str().starts_with(lost));
    let removed = world.members.values_mut().filter(|m| m.vm.as_str().starts_with(lost));
    removed.for_each(|member| member.alive = false);
    let took_ms = world.run_until("all serve elsewhere", |world| world.serving() == 3);
    println!("a lost domain's replicas serve elsewhere after {took_ms} ms, loading takes 5000");
    assert!(took_ms >= world.options.capacity_hold_ms);
    world.list = list;
    let absent = world.members.values_mut().filter(|member| !member.alive);
    absent.for_each(controllers::FakeMember::restart);
    world.run_ms(60_000);
    assert_eq!(holds(&world, if lost == "vm-1-" { "f0" } else { "f1" }), 3);
}
