use std::collections::BTreeMap;

use celeryhaven_derives::data;
use celeryhaven_types::ModelName;

/// Age from which a short-term demand is unknown, in milliseconds.
pub const RECENT_AGE_MS_MAX: u64 = 4_000;

/// Largest plausible demand, relative to all slots of the fleet.
const PLAUSIBLE_DEMAND_FACTOR: f64 = 100.0;

data! {
    /// Short-term demand of one node, or the sum of several nodes.
    #[derive(Default)]
    pub struct RecentDemand {
        /// Number of nodes included.
        pub nodes: u32,
        /// Mean age of the measurements, weighted by demand, in milliseconds.
        pub age_ms: u32,
        /// Slots that the offered load of each model would keep busy.
        pub busy_slots: BTreeMap<ModelName, f32>,
    }
}

impl RecentDemand {
    /// Adds the demand of other nodes, reduced to the fraction `weight`.
    pub fn add(&mut self, other: &Self, weight: f64) {
        let (own, others) = (self.all_busy_slots(), other.all_busy_slots() * weight);
        let age_ms = f64::from(self.age_ms) * own + f64::from(other.age_ms) * others;
        if own + others > 0.0 {
            self.age_ms = (age_ms / (own + others)) as u32;
        }
        self.nodes += other.nodes;
        for (model, slots) in &other.busy_slots {
            *self.busy_slots.entry(model.clone()).or_default() += slots * weight as f32;
        }
    }

    /// Returns the sum over all models.
    pub fn all_busy_slots(&self) -> f64 {
        self.busy_slots.values().map(|slots| f64::from(*slots)).sum()
    }

    /// Whether a fleet with `fleet_slots` slots can have this demand.
    pub fn is_plausible(&self, fleet_slots: f64) -> bool {
        let max = fleet_slots * PLAUSIBLE_DEMAND_FACTOR;
        let mut all = self.busy_slots.values().map(|slots| f64::from(*slots));
        all.all(|slots| slots.is_finite() && slots >= 0.0) && self.all_busy_slots() <= max
    }

    /// Whether the demand is too old to be used.
    pub fn is_old(&self) -> bool {
        u64::from(self.age_ms) >= RECENT_AGE_MS_MAX
    }
}
