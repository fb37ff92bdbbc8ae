use std::collections::BTreeMap;

use celeryhaven_types::{ModelName, TimeMs};

use crate::Demand;

/// Time after the first work from which a measure counts, in milliseconds.
///
/// The first requests of a node are too few to tell how much of each model is asked for.
const MEASURE_MIN_MS: u64 = 2_000;

/// Measures the work offered to one node, as an exponentially weighted mean.
///
/// Refused requests count like others: a model whose replicas are full needs what it turns away.
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
    /// Work in milliseconds of a slot, each with the weight of its age.
    work_ms: BTreeMap<ModelName, f64>,
    weighed_at: TimeMs,
    first_at: Option<TimeMs>,
}

impl DemandMeter {
    /// Has measured nothing; the window is the time constant of the mean, in milliseconds.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms: window_ms.max(1) as f64,
            work_ms: BTreeMap::new(),
            weighed_at: TimeMs::new(0),
            first_at: None,
        }
    }

    /// Takes over work that was offered, in milliseconds of a slot.
    pub fn add(&mut self, now: TimeMs, model: &ModelName, work_ms: f64) {
        self.weigh(now);
        self.first_at.get_or_insert(now);
        *self.work_ms.entry(model.clone()).or_default() += work_ms;
    }

    /// The demand of this node now; that of no node until work was offered for a while.
    pub fn sample(&mut self, now: TimeMs) -> Demand {
        self.weigh(now);
        let measured = self.first_at.filter(|&at| now.since(at) >= MEASURE_MIN_MS);
        let Some(first_at) = measured else { return Demand::default() };
        // What a window that has just begun holds, of a full one.
        let filled = 1.0 - (-(now.since(first_at) as f64) / self.window_ms).exp();
        let span_ms = (self.window_ms * filled).max(1.0);
        let busy = |(model, work_ms): (&ModelName, &f64)| (model.clone(), work_ms / span_ms);
        Demand { nodes: 1, busy_slots: self.work_ms.iter().map(busy).collect() }
    }

    fn weigh(&mut self, now: TimeMs) {
        let weight = (-(now.since(self.weighed_at) as f64) / self.window_ms).exp();
        self.work_ms.values_mut().for_each(|work_ms| *work_ms *= weight);
        self.weighed_at = now;
    }
}
