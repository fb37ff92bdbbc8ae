use std::collections::BTreeMap;

use celeryhaven_fleet::ModelProfile;
use celeryhaven_types::{ModelName, TimeMs};

/// Time after which an observation has lost most of its weight, in milliseconds.
///
/// A replica that changes its model serves nobody for some seconds, so a wave that is over by then
/// must not move one.
const MEMORY_MS: f64 = 8_000.0;

/// Least and greatest part of its configured targets that a model is to have for what was observed.
///
/// Load: a node sees few requests of a model. Harm: by those alone a model could lose most of its
/// replicas to chance, and what its callers ask for next comes before any has formed again. Limit: a
/// third less or more than the operators expect.
const PART_MIN: f64 = 2.0 / 3.0;
const PART_MAX: f64 = 4.0 / 3.0;

/// How many targets the work of each model keeps busy, as this node's requests show.
///
/// Load: models whose requests differ in what they cost, so that a share of the work says little of
/// the targets it takes. Harm: by configured shares alone the replicas of one model were full and
/// everyone there late, while those of another had half of their slots free. Limit: replicas of all
/// models are to be full to the same part.
///
/// ```
/// use celeryhaven_forming::Demand;
/// use celeryhaven_types::{ModelName, TimeMs};
///
/// let mut demand = Demand::new();
/// let (large, small) = (ModelName::new("large"), ModelName::new("small"));
/// demand.observe(TimeMs::new(0), &large, 60.0);
/// demand.observe(TimeMs::new(0), &small, 40.0);
/// assert_eq!(demand.busy_targets(&large), Some(60.0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Demand {
    busy: BTreeMap<ModelName, Busy>,
}

#[derive(Clone, Copy, Debug)]
struct Busy {
    targets: f64,
    at: TimeMs,
}

impl Demand {
    /// Has observed nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over how many targets a model's work keeps busy now.
    pub fn observe(&mut self, now: TimeMs, model: &ModelName, targets: f64) {
        let busy = self.busy.entry(model.clone()).or_insert(Busy { targets, at: now });
        let weight = 1.0 - (-(now.since(busy.at) as f64) / MEMORY_MS).exp();
        busy.targets += (targets - busy.targets) * weight;
        busy.at = now;
    }

    /// How many targets a model's work has kept busy of late; `None` if that was never observed.
    pub fn busy_targets(&self, model: &ModelName) -> Option<f64> {
        self.busy.get(model).map(|busy| busy.targets)
    }

    /// Part of all targets that each model should have, of one; as configured where one model was not
    /// observed yet.
    pub(crate) fn parts(&self, models: &[ModelProfile]) -> Vec<f64> {
        let shares: f64 = models.iter().map(|model| model.share).sum();
        let configured = models.iter().map(|model| model.share / shares.max(f64::EPSILON));
        let busy: Option<Vec<f64>> =
            models.iter().map(|model| self.busy_targets(&model.name)).collect();
        let Some(busy) = busy.filter(|busy| busy.iter().sum::<f64>() >= 1.0) else {
            return configured.collect();
        };
        let all: f64 = busy.iter().sum();
        let bounded = configured
            .zip(busy)
            .map(|(part, busy)| (busy / all).clamp(part * PART_MIN, part * PART_MAX));
        let bounded: Vec<f64> = bounded.collect();
        let sum: f64 = bounded.iter().sum();
        bounded.into_iter().map(|part| part / sum.max(f64::EPSILON)).collect()
    }
}
