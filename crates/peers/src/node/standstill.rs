use celeryhaven_types::TimeMs;

/// Whether a node may act on what it knew before its process stood still.
///
/// Load that it answers: a node that is suspended, or gets no processor, for seconds. Other nodes take
/// its domains over meanwhile and change them, and what it knew of targets may be wrong when it goes
/// on. It must read the target list anew before it gives any orders.
///
/// ```
/// use celeryhaven_peers::Standstill;
/// use celeryhaven_types::TimeMs;
/// let mut standstill = Standstill::new(TimeMs::new(0), 700);
/// assert_eq!(standstill.record_activity(TimeMs::new(100)), None);
/// assert_eq!(standstill.record_activity(TimeMs::new(3_100)), Some(3_000));
/// assert!(!standstill.is_over());
/// // A list that was asked for before says nothing of what has happened since.
/// standstill.record_list(TimeMs::new(90));
/// assert!(!standstill.is_over());
/// standstill.record_list(TimeMs::new(3_101));
/// assert!(standstill.is_over());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Standstill {
    active_at: TimeMs,
    limit_ms: u64,
    /// When the process was first active again; `None` if the target list has been read since.
    resumed_at: Option<TimeMs>,
}

impl Standstill {
    /// Creates the state of a process that is active now, and that others do not replace before it has
    /// stood still for `limit_ms`.
    pub const fn new(now: TimeMs, limit_ms: u64) -> Self {
        Self { active_at: now, limit_ms, resumed_at: None }
    }

    /// Records that the process is active; returns for how long it has stood still, in milliseconds, if
    /// others may have replaced it meanwhile.
    pub fn record_activity(&mut self, now: TimeMs) -> Option<u64> {
        let still_ms = now.since(self.active_at);
        self.active_at = now;
        if still_ms < self.limit_ms {
            return None;
        }
        self.resumed_at = Some(now);
        Some(still_ms)
    }

    /// Records a target list that was current at `confirmed_at`.
    pub fn record_list(&mut self, confirmed_at: TimeMs) {
        self.resumed_at = self.resumed_at.filter(|resumed_at| confirmed_at < *resumed_at);
    }

    /// Whether the target list has been read since the process last stood still.
    pub const fn is_over(&self) -> bool {
        self.resumed_at.is_none()
    }
}
