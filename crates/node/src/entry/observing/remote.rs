use celeryhaven_types::TimeMs;

/// Observations of a replica received from other entries.
///
/// The age of an observation counts from its request by this node's clock, because it may be
/// delayed on the way. Observations requested before a loss was reported are ignored.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RemoteObservation {
    as_of: Option<TimeMs>,
    not_before: TimeMs,
    distrusted_until: TimeMs,
}

impl RemoteObservation {
    /// Applies an observation requested at `requested_at` that was `age_ms` old when answered.
    pub(crate) fn observed(&mut self, requested_at: TimeMs, age_ms: u64, is_whole: bool) {
        if requested_at < self.not_before {
            return;
        }
        let as_of = TimeMs::new(requested_at.get().saturating_sub(age_ms));
        self.as_of = if is_whole { self.as_of.max(Some(as_of)) } else { None };
    }

    /// Discards observations requested up to now, because the replica was reported as not whole.
    pub(crate) fn report_loss(&mut self, now: TimeMs) {
        self.as_of = None;
        self.not_before = now;
    }

    /// Ignores observers until `until`, because a request from this node failed.
    pub(crate) fn distrust(&mut self, now: TimeMs, until: TimeMs) {
        self.report_loss(now);
        self.distrusted_until = until;
    }

    /// Returns until when the latest observation is valid.
    pub(crate) fn until(&self, now: TimeMs, report_life_ms: u64) -> Option<TimeMs> {
        let until = self.as_of?.after(report_life_ms);
        (until > now && self.distrusted_until <= now).then_some(until)
    }

    /// Whether this node must poll by itself: observers are distrusted, or the latest observation
    /// is too old.
    pub(crate) fn is_older_than(&self, now: TimeMs, age_max_ms: u64) -> bool {
        let is_old = self.as_of.is_none_or(|at| at.after(age_max_ms) <= now);
        is_old || self.distrusted_until > now
    }
}
