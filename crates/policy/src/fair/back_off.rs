use celeryhaven_queue::QueueEntry;
use celeryhaven_types::TimeMs;

use crate::fair::policy::Timer;
use crate::fair::{ClassKey, FairPolicy};
use crate::interface::TargetKey;
use crate::targets::HealthState;

impl FairPolicy {
    /// Sends no requests to a target until the end of the pause that it has asked for.
    pub(crate) fn back_off(&mut self, now: TimeMs, target: TargetKey, until: TimeMs) {
        let Some(state) = self.targets.get_mut(&target).filter(|state| state.up) else {
            self.announced_back_offs.insert(target, until);
            return;
        };
        let was_healthy = state.health.state == HealthState::Healthy;
        state.health.back_off(until);
        let class = state.class;
        self.class(class).ejected += usize::from(was_healthy);
        self.timers.insert((until, Timer::Ejection(target)));
        self.refresh_availability(now, target);
        // Queued requests that could only wait for this target are refused.
        self.schedule_shed(now, class);
    }

    /// Applies a pause that was announced before the target came up.
    pub(crate) fn apply_announced_back_off(&mut self, now: TimeMs, target: TargetKey) {
        if let Some(until) = self.announced_back_offs.remove(&target) {
            self.back_off(now, target, until);
        }
    }

    /// Returns when the first target of a class receives requests again, if none of them does now.
    pub(crate) fn returns_at(&self, class: ClassKey) -> Option<TimeMs> {
        let class = &self.classes[class.get() as usize];
        if class.ejected < class.targets.len() {
            return None;
        }
        let states = class.targets.iter().filter_map(|target| self.targets.get(target));
        let returns = states.map(|state| match state.health.state {
            HealthState::Ejected { until } => Some(until),
            HealthState::Healthy | HealthState::Probing => None,
        });
        returns.collect::<Option<Vec<_>>>()?.into_iter().min()
    }

    /// Estimates the wait of a new queue entry, in milliseconds.
    pub(crate) fn wait_ms(&mut self, now: TimeMs, class: ClassKey, entry: &QueueEntry) -> f64 {
        let returns_ms = self.returns_at(class).map_or(0, |at| at.since(now));
        let senders = self.senders;
        let wait_ms = match returns_ms {
            0 => self.class(class).wait_ms(now, entry, senders),
            // All requests ahead of it wait for the same target.
            _ => self.class(class).queue.tier(entry.tier).cost_ahead_ms(entry) as f64,
        };
        returns_ms as f64 + wait_ms
    }
}
