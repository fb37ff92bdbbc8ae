//! Forming, repairing, draining and preempting replicas of one fabric domain.

mod support;

use celeryhaven_placement::{PlacementSettings, VmAvailability};
use celeryhaven_types::{Boot, ModelVersion, Priority, ReplicaPhase};
use support::{FakeDomain, LOAD_MS, STEP_MS, deployment, vm, wanted};

#[test]
fn form_missing_serves_wanted_replicas() {
    let mut domain = FakeDomain::new(9, vec![wanted(deployment("draft", 4, 5), 2)]);
    let took_ms = domain.run_until("two serve", |d| d.serving("draft") == 2);
    println!("two replicas formed after {took_ms} ms, loading takes {LOAD_MS}");
    assert!(took_ms <= LOAD_MS + 4 * STEP_MS);
}

/// A member that restarts at the same address answers polls at once, but with empty memory. Its
/// replica must not go on serving.
#[test]
fn repair_restarted_member_gets_new_generation() {
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

/// A lost member is replaced by a spare. The lost VM must not be assigned again before it is idle.
#[test]
fn repair_lost_member_uses_spare() {
    let mut domain = FakeDomain::new(5, vec![wanted(deployment("draft", 4, 5), 1)]);
    domain.run_until("serves", |d| d.serving("draft") == 1);
    let lost = domain.placement.replicas[0].vms[1].clone();
    domain.engines.get_mut(&lost).expect("known").silent = true;
    let took_ms = domain.run_until("serves without it", |d| d.serving("draft") == 1);
    println!("whole again after the loss of a member: {took_ms} ms");
    assert!(took_ms <= PlacementSettings::default().silent_ms + LOAD_MS + 8 * STEP_MS);
    assert!(!domain.placement.replicas[0].vms.contains(&lost));
    assert_eq!(domain.placement.replicas[0].generation.get(), 2, "formation restarted once");
    assert!(domain.placement.releasing.iter().any(|releasing| releasing.vm == lost));
    domain.run_ms(60_000);
    assert!(domain.placement.releasing.iter().any(|releasing| releasing.vm == lost));
    domain.engines.get_mut(&lost).expect("known").silent = false;
    domain.run_until("the lost VM is released", |d| d.placement.releasing.is_empty());
}

/// Members report the loss of another before its poll fails. A formation that restarts at once would
/// include the lost member and restart twice.
#[test]
fn repair_waits_until_all_members_were_polled() {
    let mut domain = FakeDomain::new(5, vec![wanted(deployment("draft", 4, 5), 1)]);
    domain.run_until("serves", |d| d.serving("draft") == 1);
    let lost = domain.placement.replicas[0].vms[3].clone();
    domain.engines.get_mut(&lost).expect("known").silent = true;
    domain.pending_polls.insert(lost.clone());
    domain.step();
    domain.pending_polls.clear();
    domain.run_until("serves without it", |d| d.serving("draft") == 1);
    assert_eq!(domain.placement.replicas[0].generation.get(), 2, "formation restarted once");
}

/// A controller that is cut off from most of its domain must not treat the members as lost and
/// interrupt replicas that still serve.
#[test]
fn repair_nothing_when_most_are_silent() {
    let mut domain = FakeDomain::new(8, vec![wanted(deployment("draft", 2, 5), 3)]);
    domain.run_until("serve", |d| d.serving("draft") == 3);
    let before = domain.placement.clone();
    for vm in before.replicas.iter().flat_map(|replica| &replica.vms) {
        domain.engines.get_mut(vm).expect("known").silent = true;
    }
    domain.run_ms(60_000);
    assert_eq!(domain.placement, before);
}

/// A domain is unreachable for a minute and returns one VM at a time, with weights loaded. The last
/// VMs to return must not be replaced by spares.
#[test]
fn repair_after_outage_keeps_members_that_return() {
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
    println!("after an outage the domain serves {took_ms} ms after the last VM returned");
    assert_eq!(members(&domain), before);
    assert!(took_ms < LOAD_MS / 2, "weights were loaded again: {took_ms} ms");
}

/// A replica with a leaving VM must drain before it is dissolved, or its running requests fail.
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
    assert_eq!(domain.in_phase("draft", ReplicaPhase::Draining), 1, "requests are still running");
    domain.engines.get_mut(&leaving).expect("known").running = 0;
    domain.run_until("serves without it", |d| d.serving("draft") == 1);
    assert!(!domain.placement.replicas[0].vms.contains(&leaving));
    assert_eq!(domain.interrupted_replicas, 0);
}

/// A request sent just before the entry learned of the draining is missing from lagging load
/// reports. The replica must not be dissolved because of such a report.
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
    domain.run_until("dissolved", |d| d.placement.replicas.is_empty());
    assert_eq!(domain.interrupted_replicas, 0);
}

#[test]
fn version_change_without_free_vms_goes_one_at_a_time() {
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
        "version change of 2 replicas with VMs for one more: {took_ms} ms, downtime {downtime_ms} ms"
    );
    assert_eq!(downtime_ms, 0);
}

/// All engines of a domain return with empty memory. Loading all replicas at once from the
/// rate-limited weights store would delay the highest priority.
#[test]
fn outage_restart_loads_highest_priority_first() {
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
    // Swapped since the replicas first formed, so that the order of creation gives another result.
    domain.wanted[0].deployment.priority = Priority::new(9);
    domain.wanted[1].deployment.priority = Priority::new(1);
    let limit = PlacementSettings::default().forming_at_once as usize;
    let mut restored = Vec::new();
    domain.run_until("all serve again", |d| {
        let forming = d.placement.replicas.iter().filter(|r| r.phase == ReplicaPhase::Forming);
        assert!(forming.count() <= limit);
        for name in ["first", "last", "middle"] {
            if d.serving(name) == 2 && !restored.contains(&name) {
                restored.push(name);
            }
        }
        restored.len() == 3
    });
    assert_eq!(restored, ["first", "middle", "last"]);
}

/// A replica of high priority has lost a VM and there is no spare. The weights decide between the
/// downtime of waiting and the stranded accelerators of preempting a replica of low priority.
#[test]
fn preempt_for_higher_follows_weights() {
    let serving_after_loss = |group_downtime, stranded_accelerator| {
        let all = vec![wanted(deployment("high", 4, 9), 1), wanted(deployment("low", 4, 1), 1)];
        let mut domain =
            FakeDomain::new(8, all).with_objective(group_downtime, stranded_accelerator);
        domain.run_until("serve", |d| d.serving("high") == 1 && d.serving("low") == 1);
        let high = domain.placement.replicas.iter().find(|r| r.deployment.as_str() == "high");
        let lost = high.expect("placed").vms[0].clone();
        domain.engines.get_mut(&lost).expect("known").silent = true;
        domain.run_ms(60_000);
        (domain.serving("high"), domain.serving("low"))
    };
    assert_eq!(serving_after_loss(5.0, 1.0), (1, 0), "weights that favour downtime");
    assert_eq!(serving_after_loss(1.0, 4.0), (0, 1), "weights that favour accelerators");
}

#[test]
fn preempt_for_higher_waits_for_short_absence() {
    let all = vec![wanted(deployment("high", 4, 9), 1), wanted(deployment("low", 4, 1), 1)];
    let mut domain = FakeDomain::new(8, all).with_objective(10.0, 0.1);
    domain.run_until("serve", |d| d.serving("high") == 1 && d.serving("low") == 1);
    let high = domain.placement.replicas.iter().find(|r| r.deployment.as_str() == "high");
    let absent_vm = high.expect("placed").vms[0].clone();
    domain.engines.get_mut(&absent_vm).expect("known").silent = true;
    let low = domain.placement.replicas.iter().find(|r| r.deployment.as_str() == "low").cloned();
    domain.run_ms(12_000);
    let engine = domain.engines.get_mut(&absent_vm).expect("known");
    engine.silent = false;
    engine.boot = engine.boot.next();
    engine.formation = None;
    engine.loaded = None;
    domain.run_ms(60_000);
    assert_eq!((domain.serving("high"), domain.serving("low")), (1, 1));
    let low_after = domain.placement.replicas.iter().find(|r| r.deployment.as_str() == "low");
    assert_eq!(low_after, low.as_ref(), "low was not changed");
}

/// A lost VM may stay listed for long. While it waits to be released and a replica of higher
/// priority lacks VMs, lower priorities must still use the free VMs.
#[test]
fn lost_listed_vm_does_not_block_lower_priority() {
    let all = vec![wanted(deployment("high", 4, 9), 2), wanted(deployment("low", 2, 1), 0)];
    let mut domain = FakeDomain::new(7, all);
    domain.run_until("serves", |d| d.serving("high") == 1);
    let lost = domain.placement.replicas[0].vms[0].clone();
    domain.engines.get_mut(&lost).expect("known").silent = true;
    domain.run_until("high is whole again", |d| d.serving("high") == 1);
    domain.wanted[1].replicas = 1;
    domain.run_until("low serves", |d| d.serving("low") == 1);
}
