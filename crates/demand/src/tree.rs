use std::collections::BTreeMap;

use celeryhaven_types::{NodeName, TimeMs};

use crate::Demand;

/// How long a report counts without another, in milliseconds.
///
/// Nodes ask their relay about once a second; one that does not for some seconds follows another.
const REPORT_TTL_MS: u64 = 4_000;

/// Sums the demand of the nodes that follow this one, and keeps that of the fleet.
#[derive(Clone, Debug, Default)]
pub struct DemandTree {
    own: Demand,
    reports: BTreeMap<NodeName, (Demand, TimeMs)>,
    fleet: Option<(Demand, TimeMs)>,
}

impl DemandTree {
    /// Knows of no demand yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over what this node has measured.
    pub fn set_own(&mut self, own: Demand) {
        self.own = own;
    }

    /// Takes over the sum of a node that follows this one.
    pub fn apply_report(&mut self, now: TimeMs, node: NodeName, demand: Demand) {
        self.reports.insert(node, (demand, now));
    }

    /// Takes over the demand of the fleet from the node that this one follows.
    pub fn apply_fleet_demand(&mut self, now: TimeMs, fleet: Demand) {
        self.fleet = Some((fleet, now));
    }

    /// The sum of this node and of those that follow it.
    pub fn sum(&mut self, now: TimeMs) -> Demand {
        self.reports.retain(|_, (_, at)| now.since(*at) < REPORT_TTL_MS);
        let mut sum = self.own.clone();
        self.reports.values().for_each(|(demand, _)| sum.add(demand));
        sum
    }

    /// The demand of the fleet, or of the largest part of it that is known.
    pub fn fleet_demand(&mut self, now: TimeMs) -> Demand {
        let sum = self.sum(now);
        let reported = self.fleet.as_ref().filter(|(_, at)| now.since(*at) < REPORT_TTL_MS);
        match reported {
            Some((fleet, _)) if fleet.nodes > sum.nodes => fleet.clone(),
            _ => sum,
        }
    }
}
