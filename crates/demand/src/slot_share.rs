use std::collections::{BTreeMap, VecDeque};

use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

use crate::{RECENT_AGE_MS_MAX, RecentMeter};

/// Interval between two entries of the history of a node's own demand, in milliseconds.
const HISTORY_INTERVAL_MS: u64 = 50;

/// Reported utilisation up to which a node may use its current share, and from which it keeps to the
/// settled one.
///
/// A report counts the request that it answers, and some targets are full before all are:
/// with 0.9, 58 nodes refused 64 requests after a loss at 0.85 of the capacity, with 0.95 37.
const UTILISATION_FREE: f64 = 0.97;
const UTILISATION_FULL: f64 = 1.0;

/// Time constant by which reports of load lose weight, in milliseconds.
///
/// In a surge, the free slots fill up within half a second.
const LOAD_TIME_MS: f64 = 500.0;

/// Slots of recent reports from which only these count, and not the utilisation that follows from the
/// total.
const REPORTED_SLOTS_MIN: f64 = 1.0;

/// Share relative to the part of the demand, while the targets report free slots.
///
/// The requests of a node vary by the square root of their number, so a share that equals the mean
/// would refuse some of them.
const SLACK_FACTOR: f64 = 2.0;

/// Share relative to the settled part of the demand; the sum over all nodes must be under 1.1.
const SETTLED_FACTOR: f64 = 1.05;

/// The total is known only if it includes at least one in this many of the live nodes.
const KNOWN_NODES_DIVISOR: u32 = 2;

state! {
    /// Demand of the fleet for one model, as known to one node.
    #[derive(Copy)]
    pub struct FleetDemand {
        /// Slots that the offered load would keep busy.
        pub busy_slots: f64,
        /// Number of nodes included.
        pub nodes: u32,
        /// When the demand was measured, on average.
        pub measured_at: TimeMs,
    }
}

state! {
    /// Load of a target, as reported to this node.
    #[derive(Copy)]
    struct ReportedLoad {
        reported_at: TimeMs,
        requests: f64,
        slots: f64,
    }
}

/// A node's share of the slots of one model, by its part of the demand.
///
/// Callers move between nodes within a second, faster than reports of demand travel. The own demand
/// is current, and the total is a second old. Two ratios follow from them:
///
/// - *Settled*: the own demand at the time of the total, divided by the total. The settled shares of
///   all nodes sum up to one, also in a surge of all callers.
/// - *Current*: the current demand, divided by the smallest total of the last seconds. It is right at
///   once when callers move or nodes fail, because the total does not change then. The reports of
///   failed nodes remain in the total for some time after their callers are counted elsewhere; the
///   smallest recent total counts no caller twice. In a surge these shares sum up to more than one.
///
/// The reported utilisation of the targets tells a move from a surge: the share is the settled one
/// while the targets are full, and grows to the current one when they have free slots.
#[derive(Clone, Debug, Default)]
pub struct SlotShare {
    own: RecentMeter,
    /// Own demand over time, oldest first.
    history: VecDeque<(TimeMs, f64)>,
    /// Totals by the time at which they became known, oldest first.
    totals: VecDeque<(TimeMs, FleetDemand)>,
    /// Last load of each target, by a key of the target.
    loads: BTreeMap<u64, ReportedLoad>,
}

impl SlotShare {
    /// Creates a share without demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds work that a caller has offered, in milliseconds of a slot.
    pub fn add(&mut self, now: TimeMs, work_ms: f64) {
        self.record_own(now);
        self.own.add(now, work_ms);
    }

    /// Records the requests that run and wait at a target, and its slots.
    pub fn load_reported(&mut self, now: TimeMs, target: u64, requests: u32, slots: u32) {
        let (requests, slots) = (f64::from(requests), f64::from(slots));
        self.loads.insert(target, ReportedLoad { reported_at: now, requests, slots });
        self.loads.retain(|_, load| now.since(load.reported_at) < RECENT_AGE_MS_MAX);
    }

    /// Applies the demand of the fleet.
    pub fn apply_total(&mut self, now: TimeMs, total: FleetDemand) {
        let newest = self.totals.back().map(|(_, total)| total.measured_at);
        if newest.is_some_and(|newest| newest > total.measured_at) {
            return;
        }
        self.totals.push_back((now, total));
        while self.totals.front().is_some_and(|(at, _)| now.since(*at) >= RECENT_AGE_MS_MAX) {
            self.totals.pop_front();
        }
    }

    /// Returns the age of the known total, in milliseconds.
    pub fn total_age_ms(&self, now: TimeMs) -> Option<u64> {
        self.totals.back().map(|(_, total)| now.since(total.measured_at))
    }

    /// Returns this node's share of all `slots`; `None` if the demand is unknown and shares are even.
    pub fn fraction(&mut self, now: TimeMs, live_nodes: u32, slots: f64) -> Option<f64> {
        self.record_own(now);
        let &(_, newest) = self.totals.back()?;
        let age_ms = now.since(newest.measured_at);
        if age_ms >= RECENT_AGE_MS_MAX || newest.nodes * KNOWN_NODES_DIVISOR < live_nodes {
            return None;
        }
        let total = scaled(newest, live_nodes);
        let recent = self.totals.iter().filter(|(at, _)| now.since(*at) < RECENT_AGE_MS_MAX);
        let least = recent.map(|(_, total)| scaled(*total, live_nodes)).fold(total, f64::min);
        let own = self.own.busy_slots(now);
        if own <= 0.0 || total <= 0.0 {
            return None;
        }
        let settled = self.own_at(newest.measured_at).unwrap_or(own) / total * SETTLED_FACTOR;
        let current = own / least.max(own);
        let utilisation = self.utilisation(now, total / slots.max(1.0));
        let room = (UTILISATION_FULL - utilisation) / (UTILISATION_FULL - UTILISATION_FREE);
        let upper = (current * SLACK_FACTOR).max(settled);
        Some((settled + (upper - settled) * room.clamp(0.0, 1.0)).clamp(0.0, 1.0))
    }

    /// Estimates the fraction of their slots that the targets have in use.
    fn utilisation(&self, now: TimeMs, expected: f64) -> f64 {
        let (mut requests, mut slots) = (0.0, 0.0);
        for load in self.loads.values() {
            let weight = (-(now.since(load.reported_at) as f64) / LOAD_TIME_MS).exp();
            requests += load.requests * weight;
            slots += load.slots * weight;
        }
        let missing = (REPORTED_SLOTS_MIN - slots).max(0.0);
        (requests + expected.min(1.0) * missing) / (slots + missing)
    }

    fn record_own(&mut self, now: TimeMs) {
        if self.history.back().is_some_and(|(at, _)| now.since(*at) < HISTORY_INTERVAL_MS) {
            return;
        }
        self.history.push_back((now, self.own.busy_slots(now)));
        while self.history.front().is_some_and(|(at, _)| now.since(*at) > RECENT_AGE_MS_MAX) {
            self.history.pop_front();
        }
    }

    /// Returns the own demand at a time in the past; `None` before the start of the process, whose
    /// first callers are in no total yet.
    fn own_at(&self, time: TimeMs) -> Option<f64> {
        let mut earlier = self.history.iter().rev().filter(|(at, _)| *at <= time);
        earlier.next().map(|(_, own)| *own)
    }
}

/// Extrapolates a total to all live nodes.
///
/// A part of the fleet that is cut off would otherwise take all slots, and so would the other part.
fn scaled(total: FleetDemand, live_nodes: u32) -> f64 {
    total.busy_slots * (f64::from(live_nodes) / f64::from(total.nodes.max(1))).max(1.0)
}
