use celeryhaven_fleet::ModelProfile;

use crate::Demand;

/// Free slots that a model should have, in standard deviations of its busy slots.
///
/// Random arrivals vary by the square root of their number.
const HEADROOM_STD_DEVIATIONS: f64 = 2.0;

/// Replicas that a model should have in addition to those that its load needs.
///
/// A lost replica takes seconds to replace, which matters most for models with few replicas.
const SPARE_REPLICAS: f64 = 2.0;

/// Fraction of its configured share that a model always keeps.
const CONFIGURED_FRACTION_MIN: f64 = 0.25;

/// Relative change of a share that triggers an update.
const SHARE_CHANGE_MIN: f64 = 0.2;

/// An update needs reports from at least one in this many nodes.
///
/// One node in eight sees enough requests to tell how much of each model is asked for.
const REPORTING_NODES_DIVISOR: u32 = 8;

/// Size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Nodes that callers send requests to.
    pub nodes: u32,
    /// Targets that accept new requests.
    pub targets: usize,
}

/// Share of a service's targets for each of its models.
///
/// Follows the offered load when it differs from the proportions that the operators configured. The
/// configured shares apply until load is offered, and set a lower bound afterwards.
#[derive(Clone, Debug, Default)]
pub struct ModelShares {
    /// In the order of the models passed to `update`.
    shares: Vec<f64>,
}

impl ModelShares {
    /// Creates shares that leave the configured ones in place.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the demand of a fleet whose replicas have `slots` slots each. Returns whether the
    /// shares have changed.
    pub fn update(
        &mut self,
        models: &[ModelProfile],
        slots: u32,
        size: FleetSize,
        demand: &Demand,
    ) -> bool {
        if demand.nodes == 0 || demand.nodes * REPORTING_NODES_DIVISOR < size.nodes {
            return false;
        }
        let demand = demand.scaled_to(size.nodes);
        let Some(shares) = shares_for(models, slots, size.targets, &demand) else { return false };
        let has_changed =
            |(before, after): (&f64, &f64)| (after - before).abs() > before * SHARE_CHANGE_MIN;
        let same_models = self.shares.len() == shares.len();
        if same_models && !self.shares.iter().zip(&shares).any(has_changed) {
            return false;
        }
        self.shares = shares;
        true
    }

    /// Returns the shares in the order of the models, or an empty slice while the configured ones
    /// apply.
    pub fn as_slice(&self) -> &[f64] {
        &self.shares
    }

    /// Replaces the configured shares of the models.
    pub fn apply(&self, models: &mut [ModelProfile]) {
        if self.shares.len() == models.len() {
            models.iter_mut().zip(&self.shares).for_each(|(model, share)| model.share = *share);
        }
    }
}

/// Returns shares by the targets that each model's load needs, or `None` without any load.
///
/// The need without spare replicas is scaled to the remaining targets, so that the spares of a
/// large model do not grow with the size of the fleet.
fn shares_for(
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
        needed.max(model.share / configured * CONFIGURED_FRACTION_MIN * (rest + all_spares))
    };
    let parts: Vec<f64> = models.iter().zip(&work).zip(&spares).map(part).collect();
    let sum: f64 = parts.iter().sum();
    Some(parts.into_iter().map(|part| part / sum).collect())
}

/// Returns the targets that a model's load needs, with headroom for its variation.
fn work_targets(model: &ModelProfile, slots: u32, demand: &Demand) -> f64 {
    let busy = demand.busy_slots.get(&model.name).copied().unwrap_or_default();
    (busy + HEADROOM_STD_DEVIATIONS * busy.sqrt()) / f64::from(slots.max(1)) * model.size as f64
}
