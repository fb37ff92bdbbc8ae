use std::collections::BTreeMap;

use celeryhaven_types::{NodeName, TimeMs};

use crate::Demand;

/// Time after which a report expires, in milliseconds.
///
/// Nodes report about once a second. A node that does not may follow another relay.
const REPORT_TTL_MS: u64 = 4_000;

/// Sums the demand of this node and its followers, and stores that of the fleet.
#[derive(Clone, Debug, Default)]
pub struct DemandTree {
    own: Demand,
    reports: BTreeMap<NodeName, (Demand, TimeMs)>,
    fleet: Option<(Demand, TimeMs)>,
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

    /// Applies the report of a follower.
    pub fn apply_report(&mut self, now: TimeMs, node: NodeName, demand: Demand) {
        self.reports.insert(node, (demand, now));
    }

    /// Applies the demand of the fleet as received from upstream.
    pub fn apply_fleet_demand(&mut self, now: TimeMs, fleet: Demand) {
        self.fleet = Some((fleet, now));
    }

    /// Returns the demand of this node and its followers.
    pub fn sum(&mut self, now: TimeMs) -> Demand {
        self.reports.retain(|_, (_, at)| now.since(*at) < REPORT_TTL_MS);
        let mut sum = self.own.clone();
        self.reports.values().for_each(|(demand, _)| sum.add(demand));
        sum
    }

    /// Returns the demand of the fleet, or of the largest part of it that is known.
    pub fn fleet_demand(&mut self, now: TimeMs) -> Demand {
        let sum = self.sum(now);
        let reported = self.fleet.as_ref().filter(|(_, at)| now.since(*at) < REPORT_TTL_MS);
        match reported {
            Some((fleet, _)) if fleet.nodes > sum.nodes => fleet.clone(),
            _ => sum,
        }
    }
}
