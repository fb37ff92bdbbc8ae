use celeryhaven_demand::{FleetDemand, SlotShare};
use celeryhaven_types::TimeMs;

/// Targets that a node uses, relative to those that have the slots of its share.
///
/// With exactly these, the node would need every slot of each of its targets.
const SUBSET_FACTOR: f64 = 1.5;

/// The subset becomes smaller only if this many times as many targets as needed are in use.
const SUBSET_SHRINK_FACTOR: usize = 3;

/// Relative change of the share that is logged.
const LOGGED_CHANGE_MIN: f64 = 0.25;

/// Interval between two log lines on the share, in milliseconds.
const LOG_INTERVAL_MS: u64 = 5_000;

/// A node's part of the slots of a pool by the demand of its callers.
#[derive(Debug, Default)]
pub(super) struct DemandPart {
    pub(super) share: SlotShare,
    /// Share of all slots at the last look; `None` if shares are even.
    pub(super) fraction: Option<f64>,
    /// Targets that this node uses at least.
    subset_targets: usize,
    logged: Option<(TimeMs, Option<f64>)>,
}

impl DemandPart {
    /// Applies the demand of the fleet for the model of the pool.
    pub(super) fn apply_total(&mut self, now: TimeMs, total: FleetDemand) {
        self.share.apply_total(now, total);
    }

    /// Updates the share of all slots.
    pub(super) fn update(&mut self, now: TimeMs, live_nodes: u32, slots: f64) {
        self.fraction = self.share.fraction(now, live_nodes, slots);
    }

    /// Returns the least number of targets that the node should use of `all`, and whether it changed.
    pub(super) fn subset_targets(&mut self, all: usize) -> (usize, bool) {
        let needed = self.fraction.unwrap_or_default() * SUBSET_FACTOR * all as f64;
        let needed = (needed.ceil() as usize).min(all);
        let shrinks = needed * SUBSET_SHRINK_FACTOR < self.subset_targets;
        let changed = needed > self.subset_targets || shrinks;
        if changed {
            self.subset_targets = needed;
        }
        (self.subset_targets, changed)
    }

    /// Returns the share before and now, if it has changed enough for a log line.
    pub(super) fn take_change(&mut self, now: TimeMs) -> Option<(Option<f64>, Option<f64>)> {
        let Some((at, before)) = self.logged else {
            self.logged = self.fraction.map(|fraction| (now, Some(fraction)));
            return self.fraction.map(|fraction| (None, Some(fraction)));
        };
        let is_changed = match (before, self.fraction) {
            (Some(before), Some(after)) => (after - before).abs() >= before * LOGGED_CHANGE_MIN,
            (before, after) => before.is_some() != after.is_some(),
        };
        if !is_changed || now.since(at) < LOG_INTERVAL_MS {
            return None;
        }
        self.logged = Some((now, self.fraction));
        Some((before, self.fraction))
    }
}
