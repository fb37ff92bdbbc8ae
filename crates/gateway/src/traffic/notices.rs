use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use celeryhaven_target_limits::{BackOffs, Departures};
use celeryhaven_types::{TimeMs, VmName};
use slog::info;

use crate::adapter::{Adapter, AnswerHead};
use crate::traffic::{Destination, Dispatcher};

/// What targets have told this node about themselves.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetNotices {
    /// The pauses that they have asked for.
    pub(crate) back_offs: BackOffs,
    /// Those that have announced that they leave.
    pub(crate) departures: Departures,
}

/// The notices of targets, shared by the threads that call them.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedNotices {
    notices: Arc<Mutex<Arc<TargetNotices>>>,
}

impl SharedNotices {
    /// Returns the notices as they are now.
    pub(crate) fn current(&self) -> Arc<TargetNotices> {
        self.lock().clone()
    }

    /// Records what an answer of a target says; returns whether it has said anything new.
    pub(crate) fn observe(
        &self,
        now: TimeMs,
        (target, started_at_ms): (&VmName, Option<u64>),
        head: &AnswerHead,
    ) -> bool {
        let mut notices = self.lock();
        if let Some(pause_ms) = head.back_off_ms {
            let back_offs = &mut Arc::make_mut(&mut notices).back_offs;
            back_offs.observe(now, target, started_at_ms, pause_ms);
        }
        let until = notices.back_offs.until(target, started_at_ms);
        let has_returned = until.is_some_and(|until| until <= now);
        if has_returned {
            Arc::make_mut(&mut notices).back_offs.record_answer(now, target);
        }
        let leaves = head.is_leaving && !notices.departures.contains(target, started_at_ms);
        if leaves {
            Arc::make_mut(&mut notices).departures.observe(now, target, started_at_ms);
        }
        head.back_off_ms.is_some() || has_returned || leaves
    }

    fn lock(&self) -> MutexGuard<'_, Arc<TargetNotices>> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<A: Adapter> Dispatcher<A> {
    /// Records and applies what an answer says about its target.
    pub(crate) fn record_notices(&self, destination: &Destination, head: &AnswerHead) {
        let target = (&destination.target, destination.started_at_ms);
        if !self.notices.observe(self.now(), target, head) {
            return;
        }
        if let Some(pause_ms) = head.back_off_ms {
            info!(self.log, "target asks for a pause"; "target" => destination.target.as_str(),
                "pause_ms" => pause_ms);
        }
        if head.is_leaving {
            info!(self.log, "target leaves"; "target" => destination.target.as_str());
        }
        self.apply_notices();
    }

    /// Whether a destination must not be sent anything now.
    pub(crate) fn is_withheld(&self, destination: &Destination) -> bool {
        let (target, started_at_ms) = (&destination.target, destination.started_at_ms);
        let notices = self.notices.current();
        notices.back_offs.holds(self.now(), target, started_at_ms)
            || notices.departures.contains(target, started_at_ms)
    }

    /// Applies the notices that either thread has recorded.
    pub(crate) fn apply_notices(&self) {
        let (now, current) = (self.now(), self.notices.current());
        self.metrics.targets_backing_off.set(current.back_offs.count(now) as i64);
        self.state.borrow_mut().set_notices(now, current);
    }
}
