use celeryhaven_fleet::ModelProfile;

use crate::Demand;

/// Deviations of the number of busy slots that a model should have free besides.
///
/// Requests come at random, so the slots they keep busy vary by the root of their number.
const SPARE_DEVIATIONS: f64 = 2.0;

/// Replicas that a model should have besides those that its work needs.
///
/// One that is lost takes seconds to be formed again, and a model of few replicas loses most by it.
const SPARE_REPLICAS: f64 = 2.0;

/// Least part of its configured share that a model keeps.
const CONFIGURED_PART_MIN: f64 = 0.25;

/// Change of a share, as a part of it, below which the shares stay as they are.
const CHANGE_MIN: f64 = 0.2;

/// Nodes whose demand must be known before it counts.
const NODES_MIN: u32 = 3;

/// The part of a service's targets that each of its models should have.
///
/// Load pattern: requests for the models in other proportions than the operators configured. Follows
/// the work that callers offer, with the configured shares as a floor and until work is offered.
#[derive(Clone, Debug, Default)]
pub struct ModelShares {
    /// In the order of the models that they were worked out for.
    shares: Vec<f64>,
}

impl ModelShares {
    /// The configured shares.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the demand of a fleet whose replicas have so many slots; true if a share has changed.
    pub fn update(&mut self, models: &[ModelProfile], slots: u32, demand: &Demand) -> bool {
        if demand.nodes < NODES_MIN {
            return false;
        }
        let Some(shares) = wanted(models, slots, demand) else { return false };
        let has_changed =
            |(before, after): (&f64, &f64)| (after - before).abs() > before * CHANGE_MIN;
        let same_models = self.shares.len() == shares.len();
        if same_models && !self.shares.iter().zip(&shares).any(has_changed) {
            return false;
        }
        self.shares = shares;
        true
    }

    /// The shares, in the order of the models; empty while the configured ones hold.
    pub fn as_slice(&self) -> &[f64] {
        &self.shares
    }

    /// Puts the shares in place of the configured ones.
    pub fn apply(&self, models: &mut [ModelProfile]) {
        if self.shares.len() == models.len() {
            models.iter_mut().zip(&self.shares).for_each(|(model, share)| model.share = *share);
        }
    }
}

/// Shares by the targets that each model's work needs; `None` without any work.
fn wanted(models: &[ModelProfile], slots: u32, demand: &Demand) -> Option<Vec<f64>> {
    let needed = |model: &ModelProfile| {
        let busy = demand.busy_slots.get(&model.name).copied().unwrap_or_default();
        let replicas = (busy + SPARE_DEVIATIONS * busy.sqrt()) / f64::from(slots.max(1));
        (replicas + SPARE_REPLICAS) * model.size as f64
    };
    if !models.iter().any(|model| demand.busy_slots.contains_key(&model.name)) {
        return None;
    }
    let needed: Vec<f64> = models.iter().map(needed).collect();
    let all: f64 = needed.iter().sum();
    let configured: f64 = models.iter().map(|model| model.share).sum();
    if all <= 0.0 || configured <= 0.0 {
        return None;
    }
    let floored = models
        .iter()
        .zip(needed)
        .map(|(model, needed)| (needed / all).max(model.share / configured * CONFIGURED_PART_MIN));
    let floored: Vec<f64> = floored.collect();
    let sum: f64 = floored.iter().sum();
    Some(floored.into_iter().map(|share| share / sum).collect())
}
