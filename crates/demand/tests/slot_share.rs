//! A node's share of the slots by its own demand and the total, without messages.

use celeryhaven_demand::{FleetDemand, SlotShare};
use celeryhaven_types::TimeMs;

const SLOTS: f64 = 600.0;

/// Work of a request, in milliseconds of a slot.
const WORK_MS: f64 = 1_000.0;

/// Nodes that see the same totals, with the load that each reports.
struct Fleet {
    shares: Vec<SlotShare>,
    /// Requests a second at each node.
    rates: Vec<f64>,
    utilisation: f64,
    now_ms: u64,
    /// Own demands over time, for totals of any age.
    totals: Vec<f64>,
}

impl Fleet {
    fn new(nodes: usize, all_per_s: f64) -> Self {
        Self {
            shares: vec![SlotShare::new(); nodes],
            rates: vec![all_per_s / nodes as f64; nodes],
            utilisation: 0.8,
            now_ms: 0,
            totals: Vec::new(),
        }
    }

    /// Lets callers send evenly; each total is `age_ms` old.
    fn run(&mut self, for_ms: u64, age_ms: u64, nodes: u32) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += 50;
            let now = TimeMs::new(self.now_ms);
            for (share, rate) in self.shares.iter_mut().zip(&self.rates) {
                share.add(now, rate * 0.05 * WORK_MS);
                let requests = (self.utilisation * 100.0) as u32;
                share.load_reported(now, 1, requests, 100);
            }
            self.totals.push(self.rates.iter().sum::<f64>() * WORK_MS / 1_000.0);
            let steps = (age_ms / 50) as usize;
            let Some(index) = self.totals.len().checked_sub(1 + steps) else { continue };
            let measured_at = now.before(age_ms);
            let total = FleetDemand { busy_slots: self.totals[index], nodes, measured_at };
            self.shares.iter_mut().for_each(|share| share.apply_total(now, total));
        }
    }

    fn fractions(&mut self, live: u32) -> Vec<f64> {
        let now = TimeMs::new(self.now_ms);
        let shares = self.shares.iter_mut();
        shares
            .map(|share| share.fraction(now, live, SLOTS).unwrap_or(1.0 / f64::from(live)))
            .collect()
    }

    fn sum(&mut self, live: u32) -> f64 {
        self.fractions(live).iter().sum()
    }
}

/// While the targets are full, the shares must not exceed the slots, also in a surge of all callers
/// that the total does not show yet.
#[test]
fn fraction_surge_full_targets() {
    for nodes in [8, 58, 986] {
        let mut fleet = Fleet::new(nodes, 400.0);
        fleet.utilisation = 1.0;
        fleet.run(6_000, 1_000, nodes as u32);
        let steady = fleet.sum(nodes as u32);
        fleet.rates.iter_mut().for_each(|rate| *rate *= 2.2);
        let mut most = steady;
        for _ in 0..60 {
            fleet.run(50, 1_000, nodes as u32);
            most = most.max(fleet.sum(nodes as u32));
        }
        assert!(steady > 0.95 && most < 1.1, "{nodes} nodes: {steady} before, at most {most}");
    }
}

/// The survivors of a loss must get the slots of the failed nodes within a second.
#[test]
fn fraction_two_of_three_nodes_lost() {
    for nodes in [8, 35, 58, 986] {
        let mut fleet = Fleet::new(nodes, 500.0);
        fleet.run(6_000, 1_000, nodes as u32);
        let survivors = nodes / 3;
        let rate = 500.0 / survivors as f64;
        for (node, own) in fleet.rates.iter_mut().enumerate() {
            *own = if node < survivors { rate } else { 0.0 };
        }
        fleet.run(1_000, 1_000, nodes as u32);
        let all: f64 = fleet.fractions(nodes as u32)[..survivors].iter().sum();
        assert!(all > 0.9, "{nodes} nodes: the survivors have {all} of the slots");
    }
}

/// A node that gets all callers must get all slots within a second.
#[test]
fn fraction_one_node_has_all_callers() {
    let mut fleet = Fleet::new(58, 500.0);
    fleet.run(6_000, 1_000, 58);
    fleet.rates.iter_mut().for_each(|rate| *rate = 0.0);
    fleet.rates[7] = 500.0;
    fleet.run(1_000, 1_000, 58);
    let own = fleet.fractions(58)[7];
    assert!(own > 0.8, "{own}");
}

/// Callers that move between two halves of the nodes must find slots there.
#[test]
fn fraction_callers_swing() {
    let mut fleet = Fleet::new(58, 500.0);
    for half in [0, 1, 0, 1] {
        for (node, rate) in fleet.rates.iter_mut().enumerate() {
            *rate = if node % 2 == half { 500.0 / 29.0 } else { 0.0 };
        }
        fleet.run(3_000, 1_500, 58);
        let all = fleet.fractions(58);
        let with_callers: f64 = all.iter().skip(half).step_by(2).sum();
        assert!(with_callers > 0.9, "{with_callers}");
    }
}

/// Reports of other nodes that are missing must not give all slots to each node.
#[test]
fn fraction_only_own_demand_known() {
    for nodes in [8_u32, 58, 986] {
        let mut fleet = Fleet::new(nodes as usize, 400.0);
        fleet.utilisation = 0.0;
        fleet.run(6_000, 1_000, 1);
        let sum = fleet.sum(nodes);
        assert!((sum - 1.0).abs() < 0.01, "{nodes} nodes: {sum}");
    }
}

/// A total that is too old must not be used.
#[test]
fn fraction_old_total() {
    let mut share = SlotShare::new();
    let total = FleetDemand { busy_slots: 100.0, nodes: 10, measured_at: TimeMs::new(1_000) };
    share.add(TimeMs::new(900), WORK_MS);
    assert_eq!(share.fraction(TimeMs::new(1_000), 10, SLOTS), None);
    share.apply_total(TimeMs::new(2_000), total);
    share.add(TimeMs::new(4_900), WORK_MS);
    assert!(share.fraction(TimeMs::new(4_900), 10, SLOTS).is_some());
    assert_eq!(share.fraction(TimeMs::new(5_000), 10, SLOTS), None);
}

/// A restarted node, whose callers are in no total yet, must begin with their demand.
#[test]
fn fraction_restarted_node() {
    let mut share = SlotShare::new();
    for step in 1..=10 {
        let now = TimeMs::new(10_000 + step * 50);
        share.add(now, WORK_MS / 2.0);
        share.load_reported(now, 1, 100, 100);
        let measured_at = now.before(1_000);
        share.apply_total(now, FleetDemand { busy_slots: 500.0, nodes: 50, measured_at });
    }
    let fraction = share.fraction(TimeMs::new(10_500), 50, SLOTS).unwrap();
    assert!((0.01..0.04).contains(&fraction), "{fraction}");
}
