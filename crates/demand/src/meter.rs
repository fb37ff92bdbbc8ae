use std::collections::BTreeMap;

use celeryhaven_types::{ModelName, TimeMs};

use crate::Demand;

/// Time from the first request until samples count, in milliseconds.
///
/// The first requests of a node are too few to estimate the demand for each model.
const WARM_UP_MS: u64 = 2_000;

/// Measures the load offered to one node as an exponentially weighted mean.
///
/// Rejected requests count too, so that a model whose replicas are full shows its unmet demand.
///
/// ```
/// use celeryhaven_demand::DemandMeter;
/// use celeryhaven_types::{ModelName, TimeMs};
///
/// let mut meter = DemandMeter::new(4_000);
/// let model = ModelName::new("small");
/// (0..200).for_each(|second| meter.add(TimeMs::new(second * 100), &model, 50.0));
/// let demand = meter.sample(TimeMs::new(20_000));
/// assert!((demand.busy_slots[&model] - 0.5).abs() < 0.05);
/// ```
#[derive(Clone, Debug)]
pub struct DemandMeter {
    window_ms: f64,
    /// Work in milliseconds of a slot, decayed by age.
    work_ms: BTreeMap<ModelName, f64>,
    decayed_at: TimeMs,
    first_at: Option<TimeMs>,
}

impl DemandMeter {
    /// Creates an empty meter with a time constant of `window_ms`, in milliseconds.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms: window_ms.max(1) as f64,
            work_ms: BTreeMap::new(),
            decayed_at: TimeMs::new(0),
            first_at: None,
        }
    }

    /// Adds offered work, in milliseconds of a slot.
    pub fn add(&mut self, now: TimeMs, model: &ModelName, work_ms: f64) {
        self.decay(now);
        self.first_at.get_or_insert(now);
        *self.work_ms.entry(model.clone()).or_default() += work_ms;
    }

    /// Returns the demand of this node, or an empty demand during the warm-up.
    pub fn sample(&mut self, now: TimeMs) -> Demand {
        self.decay(now);
        let measured = self.first_at.filter(|&at| now.since(at) >= WARM_UP_MS);
        let Some(first_at) = measured else { return Demand::default() };
        // Fraction of the window that is filled so far.
        let filled = 1.0 - (-(now.since(first_at) as f64) / self.window_ms).exp();
        let span_ms = (self.window_ms * filled).max(1.0);
        let busy = |(model, work_ms): (&ModelName, &f64)| (model.clone(), work_ms / span_ms);
        Demand { nodes: 1, busy_slots: self.work_ms.iter().map(busy).collect(), recent: None }
    }

    fn decay(&mut self, now: TimeMs) {
        let weight = (-(now.since(self.decayed_at) as f64) / self.window_ms).exp();
        self.work_ms.values_mut().for_each(|work_ms| *work_ms *= weight);
        self.decayed_at = now;
    }
}
