use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use celeryhaven_delegation::TargetNotice;
use celeryhaven_fleet::AnswerRun;
use celeryhaven_target_limits::{BackOffs, Departures};
use celeryhaven_types::{TimeMs, VmName};
use slog::info;

use crate::adapter::{Adapter, AnswerHead, LimitHeader};
use crate::traffic::{Destination, Dispatcher};

/// What targets have told this node about themselves.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetNotices {
    /// The pauses that they have asked for.
    pub(crate) back_offs: BackOffs,
    /// Those that have announced that they leave.
    pub(crate) departures: Departures,
}

/// Answers of unlisted targets, with the start times of their processes.
type UnlistedAnswers = BTreeMap<VmName, (Option<u64>, AnswerRun)>;

/// The notices of targets, shared by the threads that call them.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedNotices {
    notices: Arc<Mutex<Arc<TargetNotices>>>,
    /// Unlisted targets, and their answers that have not been taken.
    unlisted: Arc<Mutex<UnlistedAnswers>>,
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
        self.observe_unlisted(now, (target, started_at_ms), head);
        let is_new = self.learn(now, (target, started_at_ms), (head.back_off_ms, head.is_leaving));
        let mut notices = self.lock();
        let until = notices.back_offs.until(target, started_at_ms);
        let has_returned = until.is_some_and(|until| until <= now);
        if has_returned {
            Arc::make_mut(&mut notices).back_offs.record_answer(now, target);
        }
        is_new || has_returned
    }

    /// Records what a target has said to this node or to a peer; returns whether it was new.
    pub(crate) fn learn(
        &self,
        now: TimeMs,
        (target, started_at_ms): (&VmName, Option<u64>),
        (back_off_ms, is_leaving): (Option<u64>, bool),
    ) -> bool {
        let mut notices = self.lock();
        if let Some(pause_ms) = back_off_ms {
            let back_offs = &mut Arc::make_mut(&mut notices).back_offs;
            back_offs.observe(now, target, started_at_ms, pause_ms);
        }
        let leaves = is_leaving && !notices.departures.contains(target, started_at_ms);
        if leaves {
            Arc::make_mut(&mut notices).departures.observe(now, target, started_at_ms);
        }
        back_off_ms.is_some() || leaves
    }

    /// Sets the unlisted targets, with their start times; only their answers are recorded.
    pub(crate) fn watch_unlisted(&self, targets: BTreeMap<VmName, Option<u64>>) {
        let mut unlisted = self.unlisted.lock().unwrap_or_else(PoisonError::into_inner);
        let watched = targets.into_iter().map(|(name, started_at_ms)| {
            let recorded = unlisted.get(&name).filter(|(recorded, _)| *recorded == started_at_ms);
            let answers = recorded.map(|(_, answers)| *answers).unwrap_or_default();
            (name, (started_at_ms, answers))
        });
        *unlisted = watched.collect();
    }

    /// Returns the answers of unlisted targets since the last call, with the targets' start times.
    pub(crate) fn take_unlisted_answers(&self) -> Vec<(VmName, Option<u64>, AnswerRun)> {
        let mut unlisted = self.unlisted.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = unlisted.iter_mut().filter(|(_, (_, answers))| answers.last_at().is_some());
        let taken = taken.map(|(name, (started_at_ms, answers))| {
            (name.clone(), *started_at_ms, std::mem::take(answers))
        });
        taken.collect()
    }

    fn observe_unlisted(
        &self,
        now: TimeMs,
        (target, started_at_ms): (&VmName, Option<u64>),
        head: &AnswerHead,
    ) {
        let mut unlisted = self.unlisted.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((watched, answers)) = unlisted.get_mut(target)
            && *watched == started_at_ms
        {
            answers.observe(now, head.closes_connection);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Arc<TargetNotices>> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<A: Adapter> Dispatcher<A> {
    /// Records and applies what an answer says about its target.
    pub(crate) fn record_notices(&self, destination: &Destination, head: &AnswerHead) {
        let target = (&destination.target, destination.started_at_ms);
        if self.notices.observe(self.now(), target, head) {
            self.apply_new_notices(&destination.target, (head.back_off_ms, head.is_leaving), "own");
        }
    }

    /// Records and applies what a target has said to the peer that has run a request for this node.
    pub(crate) fn record_peer_notice(&self, notice: &TargetNotice) {
        let TargetNotice { target, started_at_ms, is_leaving, back_off_ms, rate_per_s } = notice;
        if let Some(rate_per_s) = rate_per_s {
            let limit = LimitHeader::RatePerS(*rate_per_s);
            self.limit_named((target, *started_at_ms), limit, self.now(), false);
        }
        let said = (*back_off_ms, *is_leaving);
        if self.notices.learn(self.now(), (target, *started_at_ms), said) {
            self.apply_new_notices(target, said, "peer");
        }
    }

    fn apply_new_notices(
        &self,
        target: &VmName,
        (back_off_ms, is_leaving): (Option<u64>, bool),
        source: &'static str,
    ) {
        if let Some(pause_ms) = back_off_ms {
            info!(self.log, "target asks for a pause"; "target" => target.as_str(),
                "pause_ms" => pause_ms, "source" => source);
        }
        if is_leaving {
            info!(self.log, "target leaves"; "target" => target.as_str(), "source" => source);
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
