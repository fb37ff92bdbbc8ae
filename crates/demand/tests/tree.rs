//! Demand summed over a tree of nodes.

use std::collections::BTreeSet;

use celeryhaven_demand::{Demand, DemandMeter, DemandTree, RecentDemand, ReportFault};
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

fn recent(slots: f32) -> RecentDemand {
    RecentDemand { nodes: 1, age_ms: 0, busy_slots: [(ModelName::new("small"), slots)].into() }
}

fn with_recent(recent: RecentDemand) -> Demand {
    Demand { recent: Some(recent), ..demand(1.0) }
}

fn recent_slots(tree: &mut DemandTree, now_ms: u64) -> f64 {
    tree.fleet_demand(TimeMs::new(now_ms)).recent.map_or(-1.0, |recent| recent.all_busy_slots())
}

/// A root that knows the nodes `one` and `two`, and reports up to 1,000 slots.
fn checked_root() -> DemandTree {
    let mut root = DemandTree::new();
    root.set_own(with_recent(recent(1.0)));
    root.set_bounds(10.0, Some(BTreeSet::from([NodeName::new("one"), NodeName::new("two")])));
    root
}

/// An absurd, old or unknown report must not change the shares, and the reporting node must not
/// lose its own.
#[test]
fn report_fault_keeps_last_valid() {
    let one = NodeName::new("one");
    let mut root = checked_root();
    root.apply_report(TimeMs::new(0), one.clone(), with_recent(recent(4.0))).unwrap();
    let old = RecentDemand { age_ms: 4_000, ..recent(9.0) };
    let faulty = [
        (recent(-1.0), ReportFault::Absurd),
        (recent(f32::NAN), ReportFault::Absurd),
        (recent(f32::INFINITY), ReportFault::Absurd),
        (recent(1_001.0), ReportFault::Absurd),
        (old, ReportFault::Old),
    ];
    for (report, fault) in faulty {
        let applied = root.apply_report(TimeMs::new(500), one.clone(), with_recent(report.clone()));
        assert_eq!(applied, Err(fault));
        assert_eq!(root.apply_fleet_demand(TimeMs::new(500), with_recent(report)), Err(fault));
        assert_eq!(recent_slots(&mut root, 500), 5.0);
    }
    let unknown = root.apply_report(TimeMs::new(500), NodeName::new("x"), with_recent(recent(2.0)));
    assert_eq!(unknown, Err(ReportFault::UnknownNode));
    assert_eq!(recent_slots(&mut root, 500), 5.0);
    assert_eq!(
        root.take_faults().map(|(_, fault, count)| (fault, count)),
        Some((ReportFault::UnknownNode, 11))
    );
    assert_eq!(root.take_faults(), None);
}

/// Each hop adds to the age, so that a total over two levels of relays is not taken for current.
#[test]
fn recent_age_over_two_relays() {
    let (mut root, mut relay, mut leaf) = (DemandTree::new(), DemandTree::new(), DemandTree::new());
    for tree in [&mut root, &mut relay, &mut leaf] {
        tree.set_own(with_recent(recent(0.0)));
    }
    leaf.set_own(with_recent(recent(6.0)));
    relay.apply_report(TimeMs::new(0), NodeName::new("leaf"), leaf.sum(TimeMs::new(0))).unwrap();
    let at_relay = relay.sum(TimeMs::new(1_000));
    root.apply_report(TimeMs::new(1_000), NodeName::new("relay"), at_relay).unwrap();
    let fleet = root.fleet_demand(TimeMs::new(1_400)).recent.unwrap();
    assert_eq!((fleet.nodes, fleet.age_ms), (3, 1_400));
}

/// The demand of a failed node must leave the total before its report expires, because its callers
/// are counted elsewhere; one lost report must not.
#[test]
fn recent_failed_node_fades() {
    let mut root = checked_root();
    root.apply_report(TimeMs::new(0), NodeName::new("one"), with_recent(recent(8.0))).unwrap();
    assert_eq!(recent_slots(&mut root, 1_500), 9.0);
    let after = recent_slots(&mut root, 3_500);
    assert!(after > 1.0 && after < 2.5, "{after}");
    assert_eq!(recent_slots(&mut root, 4_000), 1.0);
}

/// Two roots have different followers; each must know all, and none twice.
#[test]
fn recent_two_roots() {
    let now = TimeMs::new(100);
    let names = [NodeName::new("first"), NodeName::new("second")];
    let mut roots = [DemandTree::new(), DemandTree::new()];
    for (index, root) in roots.iter_mut().enumerate() {
        root.set_own(with_recent(recent(1.0)));
        root.set_roots([names[1 - index].clone()].into());
        let follower = NodeName::new(format!("follower-{index}"));
        root.apply_report(now, follower, with_recent(recent(10.0))).unwrap();
    }
    for _ in 0..3 {
        let sums = [roots[0].sum(now), roots[1].sum(now)];
        roots[1].apply_report(now, names[0].clone(), sums[0].clone()).unwrap();
        roots[0].apply_report(now, names[1].clone(), sums[1].clone()).unwrap();
    }
    for root in &mut roots {
        assert_eq!(root.fleet_demand(now).recent.unwrap().nodes, 4);
        assert_eq!(recent_slots(root, 100), 22.0);
    }
}
