//! Choices of placement, measured side by side in virtual time.

mod support;

use celeryhaven_placement::{PlacementSettings, WantedDeployment};
use support::{FakeDomain, deployment, vm, wanted};

/// 20 VMs of 4 accelerators and one spare: a third of today's fleet.
fn day_domain() -> Vec<WantedDeployment> {
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

/// What a blackout of the domain costs until everything serves again.
struct Blackout {
    cost: f64,
    high_ms: u64,
    all_ms: u64,
}

/// 100 GB for each VM from a store of 10 GB/s; a VM takes at most `vm_bytes_per_ms`.
fn blackout(forming_at_once: u32, vm_bytes_per_ms: f64) -> Blackout {
    let settings = PlacementSettings::default().with_forming_at_once(forming_at_once);
    let domain = FakeDomain::new(21, day_domain()).with_settings(settings);
    let mut domain = domain.with_objective(5.0, 1.0);
    domain.weights_bytes_per_ms = Some(10.0e6);
    domain.vm_bytes_per_ms = vm_bytes_per_ms;
    domain.run_until("all serve", all_serve);
    for number in 0..21 {
        domain.restart(&vm(number));
    }
    domain.reset_counts();
    let high_ms = domain.run_until("the highest serves", |d| d.serving("high") == 2);
    let all_ms = high_ms + domain.run_until("all serve", all_serve);
    Blackout { cost: domain.cost(), high_ms, all_ms }
}

/// A fabric domain comes back after a blackout with empty engines, and the weights store is the
/// bottleneck. If all replicas load at once, all are back last; a few at a time, the highest
/// priority first, bring back most worth soonest. One at a time is best where a single replica can
/// use the whole rate, and leaves most of the rate unused where its VMs cannot.
#[test]
fn blackout_pace_brings_worth_back_first() {
    let default = PlacementSettings::default().forming_at_once;
    for (name, vm_bytes_per_ms) in [("none", f64::INFINITY), ("1 GB/s", 1.0e6)] {
        println!("limit of one VM: {name}");
        println!("{:>10} {:>10} {:>10} {:>10}", "at once", "cost", "high ms", "all ms");
        let runs = [1, 2, 3, 100].map(|at_once| (at_once, blackout(at_once, vm_bytes_per_ms)));
        for (at_once, Blackout { cost, high_ms, all_ms }) in &runs {
            println!("{at_once:>10} {cost:>10.0} {high_ms:>10} {all_ms:>10}");
        }
        let find = |wanted: u32| {
            let found = runs.iter().find(|(at_once, _)| *at_once == wanted);
            &found.expect("measured").1
        };
        assert!(find(default).cost < find(100).cost);
        assert!(find(default).high_ms < find(100).high_ms);
    }
}

/// What an hour costs in which one VM restarts every two minutes.
fn unsteady(unsteady_restarts: u32) -> (f64, u64, u64) {
    let settings = PlacementSettings::default().with_unsteady_restarts(unsteady_restarts);
    let domain = FakeDomain::new(21, day_domain()).with_settings(settings);
    let mut domain = domain.with_objective(5.0, 1.0);
    domain.run_until("all serve", all_serve);
    domain.reset_counts();
    let culprit = domain.placement.replicas[0].vms[2].clone();
    for _ in 0..30 {
        domain.restart(&culprit);
        domain.run_ms(120_000);
    }
    let downtime_s = domain.downtime_ms.values().sum::<u64>() / 1_000;
    (domain.cost(), downtime_s, domain.formations)
}

/// One VM restarts again and again. If its replica is formed anew with it each time, one replica is
/// down for a sixth of the hour, though a steady spare stands by.
#[test]
fn unsteady_vm_is_replaced_by_spare() {
    println!("{:>15} {:>10} {:>12} {:>10}", "restarts", "cost", "downtime s", "formations");
    let runs = [2, 3, u32::MAX].map(|restarts| (restarts, unsteady(restarts)));
    for (restarts, (cost, downtime_s, formations)) in &runs {
        println!("{restarts:>15} {cost:>10.0} {downtime_s:>12} {formations:>10}");
    }
    let [(_, with), _, (_, without)] = runs;
    assert!(with.0 < without.0 && with.1 * 5 < without.1);
}

/// Riga's and Brackenfield's weights, as in the example intents.
const WEIGHTS: [(&str, f64, f64); 2] = [("riga", 5.0, 1.0), ("brackenfield", 1.0, 4.0)];

/// A number below `limit` that follows from a seed and a count.
fn draw(seed: u64, count: u64, limit: u64) -> u64 {
    let mut bits = (seed << 32) ^ count.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (bits ^ (bits >> 31)) % limit
}

/// Cost of two hours without a spare in which a VM goes away every four minutes: a pause of ten
/// seconds from which it returns as it was, a restart of a minute or two, or half an hour.
fn absences(settings: PlacementSettings, weights: (f64, f64), seed: u64) -> f64 {
    let domain = FakeDomain::new(20, day_domain()).with_settings(settings);
    let mut domain = domain.with_objective(weights.0, weights.1);
    domain.wanted.iter_mut().for_each(|wanted| wanted.deployment.weights_bytes = 15_000_000_000);
    domain.run_until("all serve", all_serve);
    domain.reset_counts();
    let mut back_at: Vec<(u64, usize)> = Vec::new();
    for tenth in 0..720_u64 {
        if tenth % 24 == 0 {
            let away = draw(seed, tenth, 20) as usize;
            let tenths = match draw(seed, tenth + 10_000, 10) {
                0..4 => 1,
                4..8 => 6 + draw(seed, tenth + 20_000, 7),
                _ => 180,
            };
            domain.engines.get_mut(&vm(away)).expect("known").silent = true;
            back_at.retain(|(_, other)| *other != away);
            back_at.push((tenth + tenths, away));
        }
        for (at, away) in back_at.extract_if(.., |(at, _)| *at <= tenth).collect::<Vec<_>>() {
            let was_paused = (at / 24) * 24 + 1 == at;
            match was_paused {
                true => domain.engines.get_mut(&vm(away)).expect("known").silent = false,
                false => domain.restart(&vm(away)),
            }
        }
        domain.run_ms(10_000);
    }
    domain.cost()
}

/// VMs go away and come back, and there is no spare. Breaking a replica of low priority at once
/// moves VMs for absences that end by themselves; never breaking leaves the replica worth most down
/// for the long ones. The two users' weights ask for different choices.
#[test]
fn breaking_pays_by_the_users_weights() {
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
            WEIGHTS.map(|(_, downtime, stranded)| absences(settings, (downtime, stranded), 1));
        println!("{name:>12} {:>14.0} {:>14.0}", cost[0], cost[1]);
        cost
    });
    let [never, at_once, chosen, late] = costs;
    for user in 0..2 {
        assert!(chosen[user] * 1.5 < never[user]);
        assert!(chosen[user] <= at_once[user] * 1.02);
        assert!(chosen[user] <= late[user]);
    }
}
