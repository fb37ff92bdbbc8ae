//! Demand summed over a tree of nodes.

use celeryhaven_demand::{Demand, DemandMeter, DemandTree};
use celeryhaven_types::{ModelName, NodeName, TimeMs};

fn demand(slots: f64) -> Demand {
    Demand { nodes: 1, busy_slots: [(ModelName::new("small"), slots)].into(), recent: None }
}

fn busy(demand: &Demand) -> f64 {
    demand.busy_slots.get(&ModelName::new("small")).copied().unwrap_or_default()
}

#[test]
fn tree_sums_and_reports() {
    let now = TimeMs::new(10_000);
    let (mut root, mut relay, mut node) = (DemandTree::new(), DemandTree::new(), DemandTree::new());
    root.set_own(demand(1.0));
    relay.set_own(demand(2.0));
    node.set_own(demand(4.0));
    relay.apply_report(now, NodeName::new("node"), node.sum(now)).unwrap();
    root.apply_report(now, NodeName::new("relay"), relay.sum(now)).unwrap();
    let fleet = root.fleet_demand(now);
    assert_eq!((fleet.nodes, busy(&fleet)), (3, 7.0));
    relay.apply_fleet_demand(now, fleet.clone()).unwrap();
    node.apply_fleet_demand(now, relay.fleet_demand(now)).unwrap();
    assert_eq!(node.fleet_demand(now), fleet);
}

/// A node that follows another relay than before must not be counted twice.
#[test]
fn tree_old_report_expires() {
    let mut root = DemandTree::new();
    root.apply_report(TimeMs::new(0), NodeName::new("node"), demand(4.0)).unwrap();
    assert_eq!(busy(&root.sum(TimeMs::new(1_000))), 4.0);
    assert_eq!(busy(&root.sum(TimeMs::new(5_000))), 0.0);
}

/// The first requests must not produce an estimate that is far off.
#[test]
fn meter_first_requests() {
    let mut meter = DemandMeter::new(8_000);
    let model = ModelName::new("small");
    (0..20).for_each(|tick| meter.add(TimeMs::new(tick * 50), &model, 100.0));
    assert_eq!(meter.sample(TimeMs::new(1_000)), Demand::default());
    (20..40).for_each(|tick| meter.add(TimeMs::new(tick * 50), &model, 100.0));
    let slots = busy(&meter.sample(TimeMs::new(2_000)));
    assert!((slots - 2.0).abs() < 0.2, "{slots}");
}
