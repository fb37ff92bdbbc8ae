use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::{NodeName, TimeMs};

use crate::recent_meter::decay;
use crate::{Demand, RecentDemand};

/// Time after which a report expires, in milliseconds.
///
/// Nodes report about once a second. A node that does not may follow another relay.
const REPORT_TTL_MS: u64 = 4_000;

/// Time from which the short-term demand of a node that has not reported again decays, in
/// milliseconds.
///
/// A poll takes up to a second and its answer 300 ms. The callers of a node that has failed are
/// counted elsewhere, as if they had left it.
const REPORT_OVERDUE_MS: u64 = 1_500;

/// Why the short-term demand of a report is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportFault {
    /// It is negative, not finite, or larger than the fleet can have.
    Absurd,
    /// It was measured too long ago.
    Old,
    /// It is from a node that is not in the records.
    UnknownNode,
}

impl ReportFault {
    /// Returns the name used in the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Absurd => "absurd",
            Self::Old => "old",
            Self::UnknownNode => "unknown node",
        }
    }
}

/// Sums the demand of this node and its followers, and stores that of the fleet.
#[derive(Clone, Debug, Default)]
pub struct DemandTree {
    own: Demand,
    reports: BTreeMap<NodeName, (Demand, TimeMs)>,
    fleet: Option<(Demand, TimeMs)>,
    /// The short-term demand of the fleet, which can be received when the long-term one is not.
    recent_fleet: Option<(RecentDemand, TimeMs)>,
    /// Other roots, whose reports are their part of the fleet, beside that of this node.
    roots: BTreeSet<NodeName>,
    /// Slots of the fleet, and the nodes in the records; `None` until they are known.
    bounds: Option<(f64, Option<BTreeSet<NodeName>>)>,
    /// The last fault of a report since it was taken, its node, and the number of faults.
    faults: Option<(Option<NodeName>, ReportFault, u32)>,
}

impl DemandTree {
    /// Creates an empty tree.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the demand measured on this node.
    pub fn set_own(&mut self, own: Demand) {
        self.own = own;
    }

    /// Sets the slots of the fleet and the nodes in the records, if these are known, by which reports
    /// are checked.
    pub fn set_bounds(&mut self, fleet_slots: f64, nodes: Option<BTreeSet<NodeName>>) {
        self.bounds = Some((fleet_slots, nodes));
    }

    /// Sets the other roots of the tree. Their reports count towards the fleet only.
    pub fn set_roots(&mut self, roots: BTreeSet<NodeName>) {
        self.roots = roots;
    }

    /// Applies the report of a follower, without its short-term demand if that has a fault.
    pub fn apply_report(
        &mut self,
        now: TimeMs,
        node: NodeName,
        mut demand: Demand,
    ) -> Result<(), ReportFault> {
        let fault = demand.recent.as_ref().and_then(|recent| self.fault(Some(&node), recent));
        if let Some(fault) = fault {
            self.record_fault(Some(node.clone()), fault);
            // The last valid short-term demand stays until it expires.
            let before = self.reports.get(&node).and_then(|(before, at)| {
                let mut recent = before.recent.clone()?;
                recent.age_ms = recent.age_ms.saturating_add(now.since(*at) as u32);
                Some(recent)
            });
            demand.recent = before.filter(|recent| !recent.is_old());
        }
        self.reports.insert(node, (demand, now));
        fault.map_or(Ok(()), Err)
    }

    /// Applies the demand of the fleet as received from upstream.
    pub fn apply_fleet_demand(
        &mut self,
        now: TimeMs,
        mut fleet: Demand,
    ) -> Result<(), ReportFault> {
        let recent = fleet.recent.take();
        self.fleet = Some((fleet, now));
        let Some(recent) = recent else { return Ok(()) };
        if let Some(fault) = self.fault(None, &recent) {
            self.record_fault(None, fault);
            return Err(fault);
        }
        self.recent_fleet = Some((recent, now));
        Ok(())
    }

    /// Returns the demand of this node and its followers.
    pub fn sum(&mut self, now: TimeMs) -> Demand {
        self.sum_of(now, false)
    }

    /// Returns the demand of the fleet, or of the largest part of it that is known.
    pub fn fleet_demand(&mut self, now: TimeMs) -> Demand {
        let sum = self.sum_of(now, true);
        let recent = self.recent_fleet(now, sum.recent.clone());
        let reported = self.fleet.as_ref().filter(|(_, at)| now.since(*at) < REPORT_TTL_MS);
        let demand = match reported {
            Some((fleet, _)) if fleet.nodes > sum.nodes => fleet.clone(),
            _ => sum,
        };
        Demand { recent, ..demand }
    }

    fn sum_of(&mut self, now: TimeMs, with_roots: bool) -> Demand {
        self.reports.retain(|_, (_, at)| now.since(*at) < REPORT_TTL_MS);
        let mut sum = self.own.clone();
        for (node, (demand, at)) in &self.reports {
            if !with_roots && self.roots.contains(node) {
                continue;
            }
            sum.add(demand);
            let (Some(recent), Some(all)) = (&demand.recent, &mut sum.recent) else { continue };
            let aged = aged(recent, now.since(*at));
            if !aged.is_old() {
                all.add(&aged, decay(now.since(*at).saturating_sub(REPORT_OVERDUE_MS)));
            }
        }
        sum
    }

    /// Returns the short-term demand of the fleet, or of the largest part of it that is known.
    fn recent_fleet(&self, now: TimeMs, sum: Option<RecentDemand>) -> Option<RecentDemand> {
        let reported = self.recent_fleet.as_ref();
        let reported = reported.map(|(fleet, at)| aged(fleet, now.since(*at)));
        let reported = reported.filter(|fleet| !fleet.is_old());
        let known =
            |demand: &Option<RecentDemand>| demand.as_ref().map_or(0, |demand| demand.nodes);
        match known(&reported) > known(&sum) {
            true => reported,
            false => sum,
        }
    }

    /// Returns the last fault of a report, its node if it was a follower, and the number of faults
    /// since the last call.
    pub fn take_faults(&mut self) -> Option<(Option<NodeName>, ReportFault, u32)> {
        self.faults.take()
    }

    fn record_fault(&mut self, node: Option<NodeName>, fault: ReportFault) {
        let before = self.faults.as_ref().map_or(0, |(.., count)| *count);
        self.faults = Some((node, fault, before + 1));
    }

    fn fault(&self, node: Option<&NodeName>, recent: &RecentDemand) -> Option<ReportFault> {
        let (slots, nodes) = self.bounds.as_ref()?;
        if !recent.is_plausible(*slots) {
            return Some(ReportFault::Absurd);
        }
        if recent.is_old() {
            return Some(ReportFault::Old);
        }
        let is_unknown =
            |nodes: &BTreeSet<NodeName>| node.is_some_and(|node| !nodes.contains(node));
        nodes.as_ref().is_some_and(is_unknown).then_some(ReportFault::UnknownNode)
    }
}

/// Returns a demand that has become older.
fn aged(demand: &RecentDemand, by_ms: u64) -> RecentDemand {
    let age_ms = u64::from(demand.age_ms).saturating_add(by_ms).min(u64::from(u32::MAX)) as u32;
    RecentDemand { age_ms, ..demand.clone() }
}
