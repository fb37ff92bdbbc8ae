use std::sync::Arc;

use celeryhaven_fleet::{TargetEntry, TargetPhase};
use celeryhaven_types::TimeMs;

use crate::adapter::Adapter;
use crate::control::Control;

impl<A: Adapter> Control<A> {
    /// Treats targets as draining that have announced to this node that they leave; returns whether
    /// there are any new ones.
    ///
    /// Their entries may say so later, or not at all.
    pub(super) fn apply_departures(&mut self, now: TimeMs) -> bool {
        let notices = self.parts.target_client.notices.current();
        if Arc::ptr_eq(&notices, &self.notices) {
            return false;
        }
        self.notices = notices;
        let listed = self.fleet.targets().filter(|entry| entry.phase == TargetPhase::Ready);
        let leaving: Vec<_> = listed.filter(|entry| self.is_leaving(entry)).cloned().collect();
        leaving.into_iter().fold(false, |changed, entry| {
            let is_unlisted = self.fleet.unlisted(&entry.name).is_some();
            changed
                | match is_unlisted {
                    true => self.fleet.record_leaving(now, &entry.name),
                    false => self.fleet.put(TargetEntry { phase: TargetPhase::Draining, ..entry }),
                }
        })
    }

    /// Returns an entry as this node uses it.
    pub(super) fn with_departure(&self, entry: TargetEntry) -> TargetEntry {
        match self.is_leaving(&entry) {
            true => TargetEntry { phase: TargetPhase::Draining, ..entry },
            false => entry,
        }
    }

    fn is_leaving(&self, entry: &TargetEntry) -> bool {
        self.notices.departures.contains(&entry.name, entry.started_at_ms)
    }
}
