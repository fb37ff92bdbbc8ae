//! Forming, mending, draining and breaking replicas of one fabric domain.

mod support;

use celeryhaven_placement::{PlacementSettings, VmAvailability};
use celeryhaven_types::{Boot, ModelVersion, Priority, ReplicaPhase};
use support::{FakeDomain, LOAD_MS, STEP_MS, deployment, vm, wanted};

#[test]
fn form_wanted_replicas_serve() {
    let mut domain = FakeDomain::new(9, vec![wanted(deployment("draft", 4, 5), 2)]);
    let took_ms = domain.run_until("two serve", |d| d.serving("draft") == 2);
    println!("two replicas formed after {took_ms} ms, loading takes {LOAD_MS}");
    assert!(took_ms <= LOAD_MS + 4 * STEP_MS);
}

/// A member restarts with empty memory at the same address and answers polls at once. Callers would
/// reach a replica of which a quarter has forgotten everything. The replica leaves serving in the
/// next step and is formed anew with a new generation.
#[test]
fn mend_restarted_member_gets_new_generation() {
    let mut domain = FakeDomain::new(4, vec![wanted(deployment("draft", 4, 5), 1)]);
    domain.run_until("serves", |d| d.serving("draft") == 1);
    let engine = domain.engines.get_mut(&vm(2)).expect("known");
    engine.boot = Boot::new(7);
    engine.formation = None;
    engine.loaded = None;
    domain.step();
    assert_eq!(domain.in_phase("draft", ReplicaPhase::Serving), 0);
    let generation = domain.placement.replicas[0].generation;
    assert_eq!(generation.get(), 2);
    domain.run_until("serves again", |d| d.serving("draft") == 1);
}

/// A member dies; a spare stands by. The dead VM is not used again before it is known to be idle.
#[test]
fn mend_dead_member_uses_spare() {
    let mut domain = FakeDomain::new(5, vec![wanted(deployment("draft", 4, 5), 1)]);
    domain.run_until("serves", |d| d.serving("draft") == 1);
    let dead = domain.placement.replicas[0].vms[1].clone();
    domain.engines.get_mut(&dead).expect("known").silent = true;
    let took_ms = domain.run_until("serves without it", |d| d.serving("draft") == 1);
    println!("whole again after the death of a member: {took_ms} ms");
    assert!(took_ms <= PlacementSettings::default().silent_ms + LOAD_MS + 8 * STEP_MS);
    assert!(!domain.placement.replicas[0].vms.contains(&dead));
    assert_eq!(domain.placement.replicas[0].generation.get(), 2, "formed anew once");
    assert!(domain.placement.releasing.iter().any(|releasing| releasing.vm == dead));
    domain.run_ms(60_000);
    assert!(domain.placement.releasing.iter().any(|releasing| releasing.vm == dead));
    domain.engines.get_mut(&dead).expect("known").silent = false;
    domain.run_until("it is free", |d| d.placement.releasing.is_empty());
}

/// A member dies right after it answered a poll. The others' next reports say that the formation
/// broke, and arrive before the poll of the dead member has failed. Begun anew at once, the
/// formation would count on the dead member, and be begun again when it is found lost.
#[test]
fn mend_waits_until_every_member_was_tried() {
    let mut domain = FakeDomain::new(5, vec![wanted(deployment("draft", 4, 5), 1)]);
    domain.run_until("serves", |d| d.serving("draft") == 1);
    let dead = domain.placement.replicas[0].vms[3].clone();
    domain.engines.get_mut(&dead).expect("known").silent = true;
    domain.slow_polls.insert(dead.clone());
    domain.step();
    domain.slow_polls.clear();
    domain.run_until("serves without it", |d| d.serving("draft") == 1);
    assert_eq!(domain.placement.replicas[0].generation.get(), 2, "formed anew once");
}

/// The controller is cut off from most of its domain; the members serve on. If it took their silence
/// for death, it would form their replicas anew on the spares that it still hears, and cut off every
/// request in flight. Nothing changes until most members are heard again.
#[test]
fn mend_nothing_when_most_are_silent() {
    let mut domain = FakeDomain::new(8, vec![wanted(deployment("draft", 2, 5), 3)]);
    domain.run_until("serve", |d| d.serving("draft") == 3);
    let before = domain.placement.clone();
    for vm in before.replicas.iter().flat_map(|replica| &replica.vms) {
        domain.engines.get_mut(vm).expect("known").silent = true;
    }
    domain.run_ms(60_000);
    assert_eq!(domain.placement, before);
}

/// A whole domain stands still for a minute and comes back as if nothing had happened, one VM after
/// the other. The last to be heard would be taken for dead and replaced by a spare that has to load
/// everything; all members still have their weights.
#[test]
fn mend_after_blackout_keeps_members_that_return() {
    let mut domain = FakeDomain::new(9, vec![wanted(deployment("draft", 4, 5), 2)]);
    domain.run_until("serve", |d| d.serving("draft") == 2);
    let members = |d: &FakeDomain| -> Vec<_> {
        d.placement.replicas.iter().map(|replica| replica.vms.clone()).collect()
    };
    let before = members(&domain);
    domain.engines.values_mut().for_each(|engine| engine.silent = true);
    domain.run_ms(60_000);
    for number in (0..9).rev() {
        domain.engines.get_mut(&vm(number)).expect("known").silent = false;
        domain.step();
    }
    let took_ms = domain.run_until("serve again", |d| d.serving("draft") == 2);
    println!("a domain that stood still serves {took_ms} ms after the last VM was back");
    assert_eq!(members(&domain), before);
    assert!(took_ms < LOAD_MS / 2, "nothing had to be loaded");
}

/// A VM of a replica is to leave. Requests in flight would be cut off if the replica were taken
/// apart at once: it drains first and is taken apart when it has run empty.
#[test]
fn leaving_vm_drains_before_release() {
    let mut domain = FakeDomain::new(5, vec![wanted(deployment("draft", 4, 5), 1)]);
    domain.run_until("serves", |d| d.serving("draft") == 1);
    let leaving = domain.placement.replicas[0].vms[0].clone();
    domain.engines.get_mut(&leaving).expect("known").running = 3;
    domain.vms.get_mut(&leaving).expect("known").availability = VmAvailability::Leaving;
    domain.step();
    assert_eq!(domain.in_phase("draft", ReplicaPhase::Draining), 1);
    domain.run_ms(30_000);
    assert_eq!(domain.in_phase("draft", ReplicaPhase::Draining), 1, "it still runs requests");
    domain.engines.get_mut(&leaving).expect("known").running = 0;
    domain.run_until("serves without it", |d| d.serving("draft") == 1);
    assert!(!domain.placement.replicas[0].vms.contains(&leaving));
    assert_eq!(domain.cut_off, 0);
}

/// A request that an entry sent just before it knew of the draining shows in no load figure yet.
/// The replica is not taken apart on a figure from before all entries knew.
#[test]
fn draining_waits_for_late_request() {
    let mut domain = FakeDomain::new(4, vec![wanted(deployment("draft", 4, 5), 1)]);
    domain.run_until("serves", |d| d.serving("draft") == 1);
    let name = domain.placement.replicas[0].vms[0].clone();
    domain.wanted[0].replicas = 0;
    domain.step();
    domain.run_ms(PlacementSettings::default().drain_settle_ms - 2 * STEP_MS);
    assert_eq!(domain.in_phase("draft", ReplicaPhase::Draining), 1);
    domain.engines.get_mut(&name).expect("known").running = 1;
    domain.run_ms(20_000);
    assert_eq!(domain.in_phase("draft", ReplicaPhase::Draining), 1);
    domain.engines.get_mut(&name).expect("known").running = 0;
    domain.run_until("gone", |d| d.placement.replicas.is_empty());
    assert_eq!(domain.cut_off, 0);
}

#[test]
fn version_change_without_room_goes_one_at_a_time() {
    let mut domain = FakeDomain::new(12, vec![wanted(deployment("draft", 4, 5), 3)]);
    domain.run_until("serve", |d| d.serving("draft") == 3);
    domain.wanted[0].deployment.version = ModelVersion::new("2");
    let mut fewest = 3;
    domain.run_until("all changed", |d| {
        fewest = fewest.min(d.in_phase("draft", ReplicaPhase::Serving));
        d.serving("draft") == 3 && d.placement.replicas.iter().all(|r| r.version.as_str() == "2")
    });
    assert_eq!(fewest, 2);
}

#[test]
fn version_change_with_room_costs_no_downtime() {
    let mut domain = FakeDomain::new(12, vec![wanted(deployment("draft", 4, 5), 2)]);
    domain.run_until("serve", |d| d.serving("draft") == 2);
    domain.wanted[0].deployment.version = ModelVersion::new("2");
    domain.downtime_ms.clear();
    let took_ms = domain.run_until("all changed", |d| {
        d.placement.replicas.len() == 2
            && d.serving("draft") == 2
            && d.placement.replicas.iter().all(|r| r.version.as_str() == "2")
    });
    let downtime_ms = domain.downtime_ms.values().sum::<u64>();
    println!(
        "version change of 2 replicas with room for one more: {took_ms} ms, downtime {downtime_ms} ms"
    );
    assert_eq!(downtime_ms, 0);
}

/// After a blackout every engine of the domain is back with empty memory. If all loaded at once,
/// the rate-limited weights store would bring all back last; the highest priority comes first.
#[test]
fn blackout_return_loads_highest_priority_first() {
    let all = vec![
        wanted(deployment("first", 2, 1), 2),
        wanted(deployment("last", 2, 9), 2),
        wanted(deployment("middle", 2, 5), 2),
    ];
    let mut domain = FakeDomain::new(12, all);
    domain
        .run_until("all serve", |d| ["first", "last", "middle"].iter().all(|n| d.serving(n) == 2));
    domain.engines.values_mut().for_each(|engine| engine.silent = true);
    domain.run_ms(60_000);
    for engine in domain.engines.values_mut() {
        engine.silent = false;
        engine.boot = engine.boot.next();
        engine.formation = None;
        engine.loaded = None;
    }
    // Priorities are others than when the replicas were first formed.
    domain.wanted[0].deployment.priority = Priority::new(9);
    domain.wanted[1].deployment.priority = Priority::new(1);
    let limit = PlacementSettings::default().forming_at_once as usize;
    let mut back = Vec::new();
    domain.run_until("all back", |d| {
        let forming = d.placement.replicas.iter().filter(|r| r.phase == ReplicaPhase::Forming);
        assert!(forming.count() <= limit);
        for name in ["first", "last", "middle"] {
            if d.serving(name) == 2 && !back.contains(&name) {
                back.push(name);
            }
        }
        back.len() == 3
    });
    assert_eq!(back, ["first", "middle", "last"]);
}

/// Riga weighs group downtime, Brackenfield stranded accelerators. A replica of high priority has
/// lost a VM, no spare is left, and one of low priority could give a VM. Breaking it costs a second
/// replica's accelerators; waiting costs the downtime of the more important one.
#[test]
fn break_for_higher_follows_the_weights() {
    let broken_low = |group_downtime, stranded_accelerator| {
        let all = vec![wanted(deployment("high", 4, 9), 1), wanted(deployment("low", 4, 1), 1)];
        let mut domain =
            FakeDomain::new(8, all).with_objective(group_downtime, stranded_accelerator);
        domain.run_until("serve", |d| d.serving("high") == 1 && d.serving("low") == 1);
        let high = domain.placement.replicas.iter().find(|r| r.deployment.as_str() == "high");
        let dead = high.expect("placed").vms[0].clone();
        domain.engines.get_mut(&dead).expect("known").silent = true;
        domain.run_ms(60_000);
        (domain.serving("high"), domain.serving("low"))
    };
    assert_eq!(broken_low(5.0, 1.0), (1, 0), "Riga's weights");
    assert_eq!(broken_low(1.0, 4.0), (0, 1), "Brackenfield's weights");
}

#[test]
fn break_for_higher_waits_for_short_absence() {
    let all = vec![wanted(deployment("high", 4, 9), 1), wanted(deployment("low", 4, 1), 1)];
    let mut domain = FakeDomain::new(8, all).with_objective(10.0, 0.1);
    domain.run_until("serve", |d| d.serving("high") == 1 && d.serving("low") == 1);
    let high = domain.placement.replicas.iter().find(|r| r.deployment.as_str() == "high");
    let away = high.expect("placed").vms[0].clone();
    domain.engines.get_mut(&away).expect("known").silent = true;
    let low = domain.placement.replicas.iter().find(|r| r.deployment.as_str() == "low").cloned();
    domain.run_ms(12_000);
    let engine = domain.engines.get_mut(&away).expect("known");
    engine.silent = false;
    engine.boot = engine.boot.next();
    engine.formation = None;
    engine.loaded = None;
    domain.run_ms(60_000);
    assert_eq!((domain.serving("high"), domain.serving("low")), (1, 1));
    let low_after = domain.placement.replicas.iter().find(|r| r.deployment.as_str() == "low");
    assert_eq!(low_after, low.as_ref(), "it was left alone");
}

/// A dead VM stays listed for long. While it waits to be released, and a replica of higher priority
/// has no room, VMs that are free must still be used.
#[test]
fn dead_listed_vm_does_not_hold_up_lower_priority() {
    let all = vec![wanted(deployment("high", 4, 9), 2), wanted(deployment("low", 2, 1), 0)];
    let mut domain = FakeDomain::new(7, all);
    domain.run_until("serves", |d| d.serving("high") == 1);
    let dead = domain.placement.replicas[0].vms[0].clone();
    domain.engines.get_mut(&dead).expect("known").silent = true;
    domain.run_until("high is whole again", |d| d.serving("high") == 1);
    domain.wanted[1].replicas = 1;
    domain.run_until("low serves", |d| d.serving("low") == 1);
}
