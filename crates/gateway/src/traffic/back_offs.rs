use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use celeryhaven_target_limits::BackOffs;
use celeryhaven_types::{TimeMs, VmName};
use slog::info;

use crate::adapter::Adapter;
use crate::traffic::{Destination, Dispatcher};

/// The pauses that targets have asked this node for, shared by the threads that call targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedBackOffs {
    back_offs: Arc<Mutex<Arc<BackOffs>>>,
}

impl SharedBackOffs {
    /// Returns the pauses as they are now.
    pub(crate) fn current(&self) -> Arc<BackOffs> {
        self.lock().clone()
    }

    /// Records a pause that a target has asked for.
    pub(crate) fn observe(
        &self,
        now: TimeMs,
        target: &VmName,
        started_at_ms: Option<u64>,
        pause_ms: u64,
    ) {
        Arc::make_mut(&mut self.lock()).observe(now, target, started_at_ms, pause_ms);
    }

    /// Records that a target has answered a request.
    pub(crate) fn record_answer(&self, now: TimeMs, target: &VmName) {
        Arc::make_mut(&mut self.lock()).record_answer(now, target);
    }

    fn lock(&self) -> MutexGuard<'_, Arc<BackOffs>> {
        self.back_offs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<A: Adapter> Dispatcher<A> {
    /// Applies the pause that an answer asks for, or the end of one that it shows.
    pub(crate) fn back_off_named(&self, destination: &Destination, pause_ms: Option<u64>) {
        let (now, target) = (self.now(), &destination.target);
        let known_until = self.back_offs.current().until(target, destination.started_at_ms);
        match (pause_ms, known_until) {
            (Some(pause_ms), _) => {
                info!(self.log, "target asks for a pause"; "target" => target.as_str(),
                    "pause_ms" => pause_ms);
                self.back_offs.observe(now, target, destination.started_at_ms, pause_ms);
            }
            (None, Some(until)) if until <= now => self.back_offs.record_answer(now, target),
            (None, _) => return,
        }
        self.apply_back_offs();
    }

    /// Whether a destination must not be sent anything now.
    pub(crate) fn is_backing_off(&self, destination: &Destination) -> bool {
        let back_offs = self.back_offs.current();
        back_offs.holds(self.now(), &destination.target, destination.started_at_ms)
    }

    /// Applies the pauses that either thread has recorded.
    pub(crate) fn apply_back_offs(&self) {
        let (now, current) = (self.now(), self.back_offs.current());
        self.metrics.targets_backing_off.set(current.count(now) as i64);
        self.state.borrow_mut().set_back_offs(now, current);
    }
}
