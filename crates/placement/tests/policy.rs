//! Costs of placement settings, compared in virtual time.

mod support;

use celeryhaven_placement::{PlacementSettings, WantedDeployment};
use support::{FakeDomain, deployment, vm, wanted};

/// Deployments that need 20 VMs.
fn wanted_deployments() -> Vec<WantedDeployment> {
    vec![
        wanted(deployment("low", 4, 1), 2),
        wanted(deployment("middle", 4, 4), 1),
        wanted(deployment("high", 4, 9), 2),
    ]
}

fn all_serve(domain: &FakeDomain) -> bool {
    domain
        .wanted
        .iter()
        .all(|wanted| domain.serving(wanted.deployment.name.as_str()) >= wanted.replicas as usize)
}

/// Cost and duration of recovery after an outage of the domain.
struct Outage {
    cost: f64,
    high_restored_ms: u64,
    all_restored_ms: u64,
}

/// Restarts all VMs. Each loads 100 GB from a store of 10 GB/s, at most at `vm_bytes_per_ms`.
fn outage(forming_at_once: u32, vm_bytes_per_ms: f64) -> Outage {
    let settings = PlacementSettings::default().with_forming_at_once(forming_at_once);
    let domain = FakeDomain::new(21, wanted_deployments()).with_settings(settings);
    let mut domain = domain.with_objective(5.0, 1.0);
    domain.weights_bytes_per_ms = Some(10.0e6);
    domain.vm_bytes_per_ms = vm_bytes_per_ms;
    domain.run_until("all serve", all_serve);
    for number in 0..21 {
        domain.restart(&vm(number));
    }
    domain.reset_counts();
    let high_restored_ms = domain.run_until("the highest serves", |d| d.serving("high") == 2);
    let all_restored_ms = high_restored_ms + domain.run_until("all serve", all_serve);
    Outage { cost: domain.cost(), high_restored_ms, all_restored_ms }
}

/// After an outage the weights store is the bottleneck. If all replicas load at once, the highest
/// priority is restored late and the outage costs more.
#[test]
fn outage_forming_limit_restores_priority_first() {
    let default = PlacementSettings::default().forming_at_once;
    for (name, vm_bytes_per_ms) in [("none", f64::INFINITY), ("1 GB/s", 1.0e6)] {
        println!("limit of one VM: {name}");
        println!("{:>10} {:>10} {:>10} {:>10}", "at once", "cost", "high ms", "all ms");
        let runs =
            [1, 2, 3, 100].map(|concurrency| (concurrency, outage(concurrency, vm_bytes_per_ms)));
        for (concurrency, Outage { cost, high_restored_ms, all_restored_ms }) in &runs {
            println!("{concurrency:>10} {cost:>10.0} {high_restored_ms:>10} {all_restored_ms:>10}");
        }
        let find = |wanted: u32| {
            let found = runs.iter().find(|(concurrency, _)| *concurrency == wanted);
            &found.expect("measured").1
        };
        assert!(find(default).cost < find(100).cost);
        assert!(find(default).high_restored_ms < find(100).high_restored_ms);
    }
}

/// Returns cost, downtime and formations of an hour in which one VM restarts every two minutes.
fn unsteady_vm_cost(unsteady_restarts: u32) -> (f64, u64, u64) {
    let settings = PlacementSettings::default().with_unsteady_restarts(unsteady_restarts);
    let domain = FakeDomain::new(21, wanted_deployments()).with_settings(settings);
    let mut domain = domain.with_objective(5.0, 1.0);
    domain.run_until("all serve", all_serve);
    domain.reset_counts();
    let unsteady_vm = domain.placement.replicas[0].vms[2].clone();
    for _ in 0..30 {
        domain.restart(&unsteady_vm);
        domain.run_ms(120_000);
    }
    let downtime_s = domain.downtime_ms.values().sum::<u64>() / 1_000;
    (domain.cost(), downtime_s, domain.formations)
}

/// A replica that is formed again with a VM that keeps restarting is down each time, although there
/// is a steady spare.
#[test]
fn unsteady_vm_is_replaced_by_spare() {
    println!("{:>15} {:>10} {:>12} {:>10}", "restarts", "cost", "downtime s", "formations");
    let runs = [2, 3, u32::MAX].map(|restarts| (restarts, unsteady_vm_cost(restarts)));
    for (restarts, (cost, downtime_s, formations)) in &runs {
        println!("{restarts:>15} {cost:>10.0} {downtime_s:>12} {formations:>10}");
    }
    let [(_, replaced), _, (_, retained)] = runs;
    assert!(replaced.0 < retained.0 && replaced.1 * 5 < retained.1);
}

/// Names, downtime weights and accelerator weights of the example intents.
const WEIGHTS: [(&str, f64, f64); 2] = [("riga", 5.0, 1.0), ("brackenfield", 1.0, 4.0)];

/// Returns a pseudo-random number below `limit`.
fn pseudo_random(seed: u64, count: u64, limit: u64) -> u64 {
    let mut bits = (seed << 32) ^ count.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (bits ^ (bits >> 31)) % limit
}

/// Returns the cost of two hours without a spare in which a VM is absent every four minutes: for a
/// pause of 10 s, a restart of 1 to 2 min, or a restart of 30 min.
fn absence_cost(settings: PlacementSettings, weights: (f64, f64), seed: u64) -> f64 {
    let domain = FakeDomain::new(20, wanted_deployments()).with_settings(settings);
    let mut domain = domain.with_objective(weights.0, weights.1);
    domain.wanted.iter_mut().for_each(|wanted| wanted.deployment.weights_bytes = 15_000_000_000);
    domain.run_until("all serve", all_serve);
    domain.reset_counts();
    let mut returns: Vec<(u64, usize)> = Vec::new();
    for step in 0..720_u64 {
        if step % 24 == 0 {
            let absent_vm = pseudo_random(seed, step, 20) as usize;
            let steps = match pseudo_random(seed, step + 10_000, 10) {
                0..4 => 1,
                4..8 => 6 + pseudo_random(seed, step + 20_000, 7),
                _ => 180,
            };
            domain.engines.get_mut(&vm(absent_vm)).expect("known").silent = true;
            returns.retain(|(_, other)| *other != absent_vm);
            returns.push((step + steps, absent_vm));
        }
        for (return_step, absent_vm) in
            returns.extract_if(.., |(return_step, _)| *return_step <= step).collect::<Vec<_>>()
        {
            let was_paused = (return_step / 24) * 24 + 1 == return_step;
            match was_paused {
                true => domain.engines.get_mut(&vm(absent_vm)).expect("known").silent = false,
                false => domain.restart(&vm(absent_vm)),
            }
        }
        domain.run_ms(10_000);
    }
    domain.cost()
}

/// VMs are absent for short and long times, and there is no spare. Preemption at once moves VMs for
/// short absences; without preemption, a high priority is down during long ones.
#[test]
fn preempt_for_higher_reduces_cost() {
    let default = PlacementSettings::default();
    let variants = [
        ("never", default.with_break_gain_percent(1_000_000)),
        ("after 0 s", default.with_break_after_ms(0)),
        ("after 15 s", default.with_break_after_ms(15_000)),
        ("after 60 s", default.with_break_after_ms(60_000)),
    ];
    println!("{:>12} {:>14} {:>14}", "break", WEIGHTS[0].0, WEIGHTS[1].0);
    let costs = variants.map(|(name, settings)| {
        let cost =
            WEIGHTS.map(|(_, downtime, stranded)| absence_cost(settings, (downtime, stranded), 1));
        println!("{name:>12} {:>14.0} {:>14.0}", cost[0], cost[1]);
        cost
    });
    let [disabled, immediate, default_cost, delayed] = costs;
    for weights_index in 0..2 {
        assert!(default_cost[weights_index] * 1.5 < disabled[weights_index]);
        assert!(default_cost[weights_index] <= immediate[weights_index] * 1.02);
        assert!(default_cost[weights_index] <= delayed[weights_index]);
    }
}
