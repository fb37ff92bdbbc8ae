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

/// Part of the nodes whose demand must be known before it counts, as a divisor.
///
/// One node in eight sees enough requests to tell how much of each model is asked for.
const NODES_PART_MIN: u32 = 8;

/// How large a fleet is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Nodes that callers send to.
    pub nodes: u32,
    /// Targets that take new work.
    pub targets: usize,
}

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

    /// Takes over the demand of a fleet of this size whose replicas have so many slots; true if a share
    /// has changed.
    pub fn update(
        &mut self,
        models: &[ModelProfile],
        slots: u32,
        size: FleetSize,
        demand: &Demand,
    ) -> bool {
        if demand.nodes == 0 || demand.nodes * NODES_PART_MIN < size.nodes {
            return false;
        }
        let demand = demand.scaled_to(size.nodes);
        let Some(shares) = wanted(models, slots, size.targets, &demand) else { return false };
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
///
/// What all models need besides spare replicas is scaled to all targets, so that spares of a large
/// model do not grow with what is left over.
fn wanted(
    models: &[ModelProfile],
    slots: u32,
    targets: usize,
    demand: &Demand,
) -> Option<Vec<f64>> {
    let configured: f64 = models.iter().map(|model| model.share).sum();
    let work: Vec<f64> = models.iter().map(|model| work_targets(model, slots, demand)).collect();
    let all_work: f64 = work.iter().sum();
    if all_work <= 0.0 || configured <= 0.0 {
        return None;
    }
    let spares: Vec<f64> = models.iter().map(|model| SPARE_REPLICAS * model.size as f64).collect();
    let all_spares: f64 = spares.iter().sum();
    let rest = (targets as f64 - all_spares).max(all_work);
    let part = |((model, work), spares): ((&ModelProfile, &f64), &f64)| {
        let needed = work / all_work * rest + spares;
        needed.max(model.share / configured * CONFIGURED_PART_MIN * (rest + all_spares))
    };
    let parts: Vec<f64> = models.iter().zip(&work).zip(&spares).map(part).collect();
    let sum: f64 = parts.iter().sum();
    Some(parts.into_iter().map(|part| part / sum).collect())
}

/// Targets that the work of a model keeps busy, with room for its variation.
fn work_targets(model: &ModelProfile, slots: u32, demand: &Demand) -> f64 {
    let busy = demand.busy_slots.get(&model.name).copied().unwrap_or_default();
    (busy + SPARE_DEVIATIONS * busy.sqrt()) / f64::from(slots.max(1)) * model.size as f64
}
