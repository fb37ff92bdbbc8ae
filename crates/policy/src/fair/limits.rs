use celeryhaven_types::TimeMs;
use rand::Rng;

use crate::fair::FairPolicy;
use crate::interface::{Decision, TargetKey};
use crate::targets::Pace;

impl FairPolicy {
    /// Sets or ends the limit of a target.
    ///
    /// Requests that would have to wait for a limited target go to others that are free.
    pub(crate) fn limit_target(
        &mut self,
        now: TimeMs,
        target: TargetKey,
        rate_per_s: Option<f64>,
        out: &mut Vec<Decision>,
    ) {
        let rate_min_per_s = 1.0 / f64::from(self.senders);
        let Some(state) = self.targets.get_mut(&target).filter(|state| state.up) else {
            if let Some(rate_per_s) = rate_per_s {
                self.announced_limits.insert(target, rate_per_s);
            }
            return;
        };
        if state.pace.as_ref().and_then(Pace::limited_rate_per_s) == rate_per_s {
            return;
        }
        match (&mut state.pace, rate_per_s) {
            (Some(pace), Some(rate_per_s)) => pace.set_rate(now, rate_per_s),
            (Some(pace), None) => pace.recover(now, rate_min_per_s),
            (None, Some(rate_per_s)) => {
                let phase: f64 = self.rng.random();
                state.pace = Some(Pace::new(now, rate_per_s, phase));
            }
            (None, None) => return,
        }
        self.pace_target(now, target, out);
    }

    /// Returns the pace of a target that is coming up, if its limit has been announced.
    pub(crate) fn take_announced_pace(&mut self, now: TimeMs, target: TargetKey) -> Option<Pace> {
        let rate_per_s = self.announced_limits.remove(&target)?;
        Some(Pace::new(now, rate_per_s, self.rng.random()))
    }

    /// Counts the slots that a limited target fills at this node's rate, as if all nodes had the
    /// same, so that requests which could only wait are refused at once.
    pub(crate) fn count_slots(&mut self, target: TargetKey) {
        let Some(state) = self.targets.get_mut(&target).filter(|state| state.up) else { return };
        let class = &mut self.classes[state.class.get() as usize];
        let slots = f64::from(state.slots);
        let request_s = class.actual_ms.value() / 1_000.0;
        let rate_per_s = state.pace.as_ref().and_then(Pace::limited_rate_per_s);
        let filled = rate_per_s.map(|rate_per_s| rate_per_s * request_s * f64::from(self.senders));
        let counted = filled.map_or(slots, |filled| filled.min(slots));
        class.slots = (class.slots - state.counted_slots + counted).max(0.0);
        state.counted_slots = counted;
    }

    /// Sends to a limited target if its pace allows it now.
    pub(crate) fn pace_target(&mut self, now: TimeMs, target: TargetKey, out: &mut Vec<Decision>) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        if state.pace.is_some_and(|pace| pace.is_over(now)) {
            state.pace = None;
        }
        let class = state.class;
        self.count_slots(target);
        self.refresh_availability(now, target);
        self.dispatch_queued(now, class, out);
    }
}
