//! No VM belongs to two replicas: paused, killed and duplicate controllers, lost replies, store
//! outages.

mod controllers;

use celeryhaven_node::ControllerOptions;
use celeryhaven_placement::PlacementSettings;
use celeryhaven_types::store::StoreRequest;
use celeryhaven_types::{FencingMode, OrderKind, ReplicaPhase};
use controllers::{FakeMember, Pause, StoreFault, Trap, TrapAction, World, deployment, intent};

fn serving_world(fencing: FencingMode) -> World {
    let mut world = World::new(3, 1, 6, fencing);
    let mut draft = deployment("draft", 2, 5);
    draft.fencing = fencing;
    world.declare(0, &intent(vec![draft]));
    world.run_until("serve", |world| world.serving() == 2);
    world
}

/// Restarts a member, so that the holder decides to re-form its replica, and pauses the holder
/// right after that decision; then waits until another controller holds the domain and all replicas
/// serve.
fn pause_holder_after(
    world: &mut World,
    action: TrapAction,
    pause: Pause,
    clock_stops: bool,
) -> usize {
    let holder = world.holder_of("f0").expect("held");
    world.trap = Some(Trap { node: holder, action, pause, clock_stops });
    let vm = world.replicas()[0].vms[0].clone();
    world.members.get_mut(&vm).expect("known").restart();
    world.run_until("the holder is paused", |world| world.is_paused(holder));
    world.run_until("another holder", |world| {
        world.holder_of("f0").is_some_and(|other| other != holder)
    });
    world.run_until("all replicas serve", |world| world.serving() == 2);
    world.run_ms(20_000);
    holder
}

/// A holder paused between its decision and its write of the placement assigns VMs to a second
/// replica when it resumes.
#[test]
fn paused_holder_write_of_placement_fails() {
    for clock_stops in [false, true] {
        let mut world = serving_world(FencingMode::Checked);
        let holder =
            pause_holder_after(&mut world, TrapAction::Placement, Pause::InsideWrite, clock_stops);
        let before = world.replicas();
        world.resume(holder);
        world.run_ms(30_000);
        assert_eq!(world.replicas(), before);
        assert_eq!(world.serving(), 2);
    }
}

/// Pauses a holder with pending orders of the first deployment while all VMs move to another
/// deployment, then resumes it.
fn release_late_orders(fencing: FencingMode, pause: Pause, clock_stops: bool) -> World {
    let mut world = serving_world(fencing);
    let holder = pause_holder_after(&mut world, TrapAction::Join, pause, clock_stops);
    let mut other = deployment("other", 3, 5);
    other.fencing = fencing;
    let node = (holder + 1) % world.controllers();
    world.declare(node, &intent(vec![other]));
    world.run_until("the other deployment serves", |world| {
        world.serving() == 3 && world.replicas().iter().all(|r| r.deployment.as_str() == "other")
    });
    world.resume(holder);
    world.run_ms(100);
    world
}

/// A holder paused before the deadline check of an order sends it after it resumes. These members
/// ignore fencing numbers.
#[test]
fn paused_holder_orders_are_not_sent() {
    let mut world = release_late_orders(FencingMode::Ignored, Pause::BeforeCheck, false);
    assert_eq!(world.serving(), 3);
    world.run_ms(10_000);
    assert_eq!(world.mismatch_ms_max, 0);
}

/// A holder paused after the deadline check, with a stopped clock, sends late orders: members that
/// check fencing numbers refuse them.
#[test]
fn paused_holder_late_orders_are_refused_by_fence() {
    let mut world = release_late_orders(FencingMode::Checked, Pause::InsideWrite, true);
    let refused: u32 = world.members.values().map(|member| member.orders_refused).sum();
    assert!(refused > 0, "no late order reached a member");
    assert_eq!(world.serving(), 3);
    world.run_ms(10_000);
    assert_eq!(world.mismatch_ms_max, 0);
}

/// The same with members that ignore fencing numbers: they execute the late order, and the replica
/// has to be re-formed after the next poll.
#[test]
fn paused_holder_late_orders_ignored_fence_window_is_bounded() {
    let mut world = release_late_orders(FencingMode::Ignored, Pause::InsideWrite, true);
    assert!(world.serving() < 3, "the late orders were not executed");
    world.run_until("all replicas serve", |world| world.serving() == 3);
    let (window_ms, poll_ms) = (world.mismatch_ms_max, world.options.poll_interval_ms);
    println!("a member named another replica while its own was serving: {window_ms} ms at most");
    assert!(window_ms > 0 && window_ms <= 2 * poll_ms);
}

/// Two processes hold the domain at once, because the clock of the first stopped while it was
/// paused, and assign one VM to two replicas.
#[test]
fn two_holders_at_once_share_no_vm() {
    let mut world = serving_world(FencingMode::Checked);
    let first = world.holder_of("f0").expect("held");
    world.pause(first, Pause::BeforeCheck, true);
    world.run_until("another holder", |world| {
        world.holder_of("f0").is_some_and(|other| other != first)
    });
    world.resume(first);
    for round in 0..4 {
        let vm = world.replicas()[round % 2].vms[round / 2].clone();
        world.members.get_mut(&vm).expect("known").restart();
        world.run_ms(3_000);
    }
    world.run_until("all replicas serve", |world| world.serving() == 2);
    assert_eq!(world.mismatch_ms_max, 0);
}

/// A holder that repeats a write of the placement after a lost reply assigns a VM twice.
#[test]
fn lost_answers_of_placement_are_read_back() {
    let mut world = serving_world(FencingMode::Checked);
    let mut count = 0;
    world.fault = Box::new(move |request| {
        let is_placement = matches!(request,
            StoreRequest::Update { key, .. } if key.as_str().starts_with("placement/"));
        count += u32::from(is_placement);
        if is_placement && count % 2 == 1 { StoreFault::AnswerLost } else { StoreFault::None }
    });
    for round in 0..6 {
        let vm = world.replicas()[round % 2].vms[0].clone();
        let member = world.members.get_mut(&vm).expect("known");
        member.restart();
        member.alive = round % 2 == 1;
        world.run_ms(8_000);
        let dead = world.members.values_mut().filter(|member| !member.alive);
        dead.for_each(FakeMember::restart);
    }
    world.run_until("all replicas serve", |world| world.serving() == 2);
}

/// A store outage changes placements or stops replicas that serve.
#[test]
fn store_outage_changes_nothing_and_recovers() {
    let mut world = serving_world(FencingMode::Checked);
    let before = world.replicas();
    let writes_before = world.store.writes;
    world.fault = Box::new(|_| StoreFault::Down);
    world.run_ms(3_600_000);
    assert!(world.holder_of("f0").is_none(), "a lease that could not be renewed is still held");
    assert_eq!(world.replicas(), before);
    assert_eq!(world.serving(), 2, "replicas stopped serving without the store");
    assert_eq!(world.store.writes, writes_before);
    let vm = world.replicas()[0].vms[0].clone();
    world.members.get_mut(&vm).expect("known").restart();
    world.fault = Box::new(|_| StoreFault::None);
    let took_ms = world.run_until("all replicas serve", |world| world.serving() == 2);
    println!("all replicas serve {took_ms} ms after the store outage, loading takes 5000");
    assert!(took_ms < 25_000);
}

/// A replica stays in serving for long after one of its members has restarted with empty memory.
#[test]
fn restarted_member_leaves_serving_within_two_polls() {
    let mut worst_ms = 0;
    for offset_ms in (0..1_000).step_by(150) {
        let mut world = serving_world(FencingMode::Checked);
        world.run_ms(offset_ms);
        let replica = world.replicas()[0].clone();
        let vm = replica.vms[1].clone();
        world.members.get_mut(&vm).expect("known").restart();
        let took_ms = world.run_until("the replica has left serving", |world| {
            let now = world.replicas().into_iter().find(|r| r.name == replica.name);
            now.is_none_or(|now| now.phase != ReplicaPhase::Serving)
        });
        worst_ms = worst_ms.max(took_ms);
    }
    println!("longest from a member's restart to its replica out of serving: {worst_ms} ms");
    assert!(worst_ms <= 2 * 500 + 100);
}

#[test]
fn killed_holder_is_replaced_and_replica_reformed() {
    let mut world = serving_world(FencingMode::Checked);
    let holder = world.holder_of("f0").expect("held");
    world.kill(holder);
    let vm = world.replicas()[0].vms[0].clone();
    world.members.get_mut(&vm).expect("known").alive = false;
    let took_ms = world.run_until("all replicas serve", |world| world.serving() == 2);
    println!(
        "holder and member failed together: all replicas serve after {took_ms} ms, loading takes 5000"
    );
    assert!(took_ms < 25_000);
}

/// A VM of a dissolved replica is reassigned while an order to join the old replica is in transit,
/// and the late order removes it from its new replica.
#[test]
fn released_vm_waits_for_orders_in_transit() {
    let order_life_ms = 8_000;
    let placement = PlacementSettings::default().with_order_life_ms(order_life_ms);
    let options = ControllerOptions::default().with_placement(placement);
    let mut world = World::with_options(1, 1, 2, FencingMode::Ignored, options);
    world.members.values_mut().for_each(|member| member.load_ms = 200);
    world.order_delay = Box::new(move |order| match &order.kind {
        OrderKind::Join { replica, .. } if replica.as_str().starts_with("first") => {
            order_life_ms - 100
        }
        _ => 0,
    });
    let only = |name: &str| {
        let mut deployment = deployment(name, 1, 5);
        deployment.fencing = FencingMode::Ignored;
        intent(vec![deployment])
    };
    world.declare(0, &only("first"));
    world.run_until("it is placed", |world| world.replicas().len() == 1);
    world.run_ms(500);
    world.declare(0, &only("second"));
    world.run_until("the second serves", |world| {
        world.serving() == 1 && world.replicas()[0].deployment.as_str() == "second"
    });
    world.run_ms(10_000);
    assert_eq!(world.mismatch_ms_max, 0);
    assert_eq!(world.replicas()[0].generation.get(), 1, "the replica was re-formed");
}

/// The lease object is removed by hand, so its fencing numbers restart below the one in the
/// placement and no controller can act for the domain.
#[test]
fn removed_lease_is_taken_with_higher_fence() {
    let mut world = serving_world(FencingMode::Checked);
    let holder = world.holder_of("f0").expect("held");
    world.kill(holder);
    world.run_until("another holder", |world| world.holder_of("f0").is_some());
    world.run_ms(2_000);
    let before = world.placements()[0].fence;
    world.store.remove("leases/f0");
    let (calls, from) = (world.store.reads + world.store.writes, world.now);
    world.run_ms(15_000);
    let calls = world.store.reads + world.store.writes - calls;
    let vm = world.replicas()[0].vms[0].clone();
    world.members.get_mut(&vm).expect("known").restart();
    world.run_ms(1_000);
    world.run_until("all replicas serve", |world| world.serving() == 2);
    assert!(world.placements()[0].fence > before);
    assert!(calls < 20 * 15, "{calls} calls in {} ms", world.now.since(from));
}
