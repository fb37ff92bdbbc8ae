use celeryhaven_types::TimeMs;

/// Time constant of the short-term demand, in milliseconds.
const TIME_CONSTANT_MS: f64 = 1_000.0;

/// Least span over which the first requests are averaged, in milliseconds.
const SPAN_MS_MIN: f64 = 250.0;

/// Measures the short-term demand for one model at one node.
///
/// The load changes within a second, such as when callers of failed nodes arrive. There is no
/// warm-up: a restarted node begins with the demand of its first callers.
///
/// ```
/// use celeryhaven_demand::RecentMeter;
/// use celeryhaven_types::TimeMs;
///
/// let mut meter = RecentMeter::new();
/// (0..100).for_each(|step| meter.add(TimeMs::new(step * 50), 100.0));
/// assert!((meter.busy_slots(TimeMs::new(5_000)) - 2.0).abs() < 0.1);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentMeter {
    /// Work in milliseconds of a slot, decayed by age.
    work_ms: f64,
    decayed_at: TimeMs,
    first_at: Option<TimeMs>,
}

impl RecentMeter {
    /// Creates an empty meter.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds offered work, in milliseconds of a slot.
    pub fn add(&mut self, now: TimeMs, work_ms: f64) {
        self.work_ms = self.work_ms * decay(now.since(self.decayed_at)) + work_ms;
        self.decayed_at = now;
        self.first_at.get_or_insert(now);
    }

    /// Returns the slots that the offered load would keep busy.
    pub fn busy_slots(&self, now: TimeMs) -> f64 {
        let Some(first_at) = self.first_at else { return 0.0 };
        let span_ms = TIME_CONSTANT_MS * (1.0 - decay(now.since(first_at)));
        self.work_ms * decay(now.since(self.decayed_at)) / span_ms.max(SPAN_MS_MIN)
    }
}

/// Returns the weight of work of this age.
pub(crate) fn decay(age_ms: u64) -> f64 {
    (-(age_ms as f64) / TIME_CONSTANT_MS).exp()
}
