//! Planned changes under load interrupt no request.

mod controllers;

use celeryhaven_types::{
    FencingMode, ModelVersion, OperatorReply, OperatorRequest, VmName, VmPhase,
};
use controllers::{World, deployment, intent};

fn loaded_world() -> World {
    let mut world = World::new(3, 2, 5, FencingMode::Checked);
    world.declare(0, &intent(vec![deployment("draft", 4, 5)]));
    world.run_until("serve", |world| world.serving() == 4);
    world.load = true;
    world.run_ms(10_000);
    assert!(world.running() > 0);
    world
}

/// A rolling version change interrupts requests when controllers stop or crash in between and the
/// next holder does not continue to drain.
#[test]
fn version_change_under_load_interrupts_no_request() {
    let mut world = loaded_world();
    let mut draft = deployment("draft", 4, 5);
    draft.version = ModelVersion::new("2");
    world.declare(1, &intent(vec![draft]));
    let mut fewest = 4;
    let mut replaced = 0;
    let began = world.now;
    let is_done = |world: &World| {
        let replicas = world.replicas();
        replicas.iter().all(|r| r.version.as_str() == "2") && world.serving() == 4
    };
    while !is_done(&world) {
        world.step();
        fewest = fewest.min(world.serving());
        let elapsed_ms = world.now.since(began);
        if replaced == 0 && elapsed_ms > 12_000 {
            let holder = world.holder_of("f0").expect("held");
            world.leave(holder);
            replaced = 1;
        }
        let second = world.holder_of("f1").filter(|_| replaced == 1 && elapsed_ms > 30_000);
        if let Some(holder) = second {
            world.kill(holder);
            replaced = 2;
        }
        assert!(elapsed_ms < 600_000, "the version change does not complete");
    }
    let took_ms = world.now.since(began);
    println!("4 replicas changed under load in {took_ms} ms; fewest serving: {fewest}");
    assert_eq!(replaced, 2);
    assert_eq!(world.interrupted(), 0);
    assert!(fewest >= 3);
}

/// Requests are interrupted when a VM is announced to leave and the VM list reports it late.
#[test]
fn leaving_vm_under_load_interrupts_no_request() {
    let mut world = loaded_world();
    let vm = world.replicas()[0].vms[0].clone();
    world.set_phase(&vm, VmPhase::Leaving);
    let took_ms = world.run_until("the VM is in no replica", |world| {
        world.placements().iter().all(|placement| {
            placement.releasing.iter().all(|releasing| releasing.vm != vm)
                && placement.replicas.iter().all(|replica| !replica.vms.contains(&vm))
        })
    });
    println!("a leaving VM was free {took_ms} ms after it was announced, requests take up to 10 s");
    assert_eq!(world.interrupted(), 0);
    world.run_until("all serve", |world| world.serving() == 4);
}

#[test]
fn drained_vm_under_load_interrupts_no_request_and_undo_restores_it() {
    let mut world = loaded_world();
    let vm = world.replicas()[0].vms[0].clone();
    let drain = |vm: &VmName, drained| OperatorRequest::DrainVm { vm: vm.clone(), drained };
    let ticket = world.ask(2, "anna", drain(&vm, true));
    assert!(matches!(world.wait_for(ticket), OperatorReply::Accepted(_)));
    let is_free = |world: &World| {
        world.replicas().iter().all(|replica| !replica.vms.contains(&vm)) && world.serving() == 4
    };
    world.run_until("it is free and all serve", is_free);
    assert_eq!(world.interrupted(), 0);
    let ticket = world.ask(2, "anna", drain(&vm, false));
    assert!(matches!(world.wait_for(ticket), OperatorReply::Accepted(_)));
    assert!(world.config().expect("accepted").drained_vms.is_empty());
}

#[test]
fn fewer_replicas_under_load_interrupts_no_request() {
    let mut world = loaded_world();
    world.declare(0, &intent(vec![deployment("draft", 2, 5)]));
    world.run_until("two replicas are removed", |world| world.replicas().len() == 2);
    assert_eq!(world.interrupted(), 0);
    assert_eq!(world.serving(), 2);
}

/// Replicas are changed when every controller is restarted in turn.
#[test]
fn controllers_replaced_in_turn_change_no_replica() {
    let mut world = loaded_world();
    let before = world.replicas();
    for node in 0..world.controllers() {
        let held_it = world.holder_of("f0") == Some(node);
        world.leave(node);
        world.run_until("it has left", |world| !world.is_alive(node));
        let took_ms = world.run_until("another holder", |world| world.holder_of("f0").is_some());
        println!("controller {node} left, it held the domain: {held_it}, taken after {took_ms} ms");
        // A released lease is taken without waiting for its expiry.
        assert!(took_ms < world.options.lease.ttl_ms);
        world.run_ms(5_000);
        world.restart(node);
        world.run_ms(5_000);
    }
    assert_eq!(world.replicas(), before);
    assert_eq!(world.interrupted(), 0);
    assert!(world.holder_of("f0").is_some() && world.holder_of("f1").is_some());
}
