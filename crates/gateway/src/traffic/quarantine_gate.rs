use std::time::Duration;

use celeryhaven_policy::Ticket;
use celeryhaven_quarantine::{CauseDigest, CauseKind, Hold, PendingCrash, Standing};
use celeryhaven_types::{Refusal, RefusalCode, TimeMs, VmName};
use slog::info;
use smol::Timer;

use crate::adapter::Adapter;
use crate::traffic::{
    CallerRequest, CrashReport, Destination, DispatchState, Dispatcher, TrafficReport,
};

/// Longest wait for the claim of a trial, which is one write to the store.
const TRIAL_CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry delay of a quarantined request without further trials, in milliseconds.
const QUARANTINED_RETRY_AFTER_MS: u64 = 60_000;

/// Shortest retry delay of a quarantined request, in milliseconds.
const QUARANTINED_RETRY_AFTER_MS_MIN: u64 = 1_000;

/// Retry delay while this node has not read the quarantine yet, in milliseconds.
const UNREAD_RETRY_AFTER_MS: u64 = 300;

/// Time for which a target must have streamed an answer so that the parts of its prompt are sound, in
/// milliseconds.
pub(crate) const SOUND_STREAMING_MS: u64 = 500;

/// A request that a target was running when its connection broke, or when this node gave it up.
#[derive(Clone, Debug)]
pub(crate) struct EndedRun {
    pub(crate) request: CallerRequest,
    pub(crate) destination: Destination,
    pub(crate) sent_at: TimeMs,
    pub(crate) broken_at: TimeMs,
    /// How long the target had been streaming the answer, if it had begun.
    pub(crate) streamed_ms: Option<u64>,
}

/// Whether a request may be sent to targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It may be sent as its route allows.
    Admitted,
    /// It may be sent once, to see whether it still ends its target.
    Trial,
    /// It is refused.
    Refused(Refusal),
}

impl<A: Adapter> Dispatcher<A> {
    /// Decides whether a request may be sent to targets; claims a trial if one is due.
    ///
    /// A node that has not read the quarantine yet admits nothing.
    pub(crate) async fn admit(&self, request: &CallerRequest) -> Admission {
        if self.state.borrow().standings.is_none() {
            let refusal = Refusal::not_run(RefusalCode::NodeUnavailable);
            return Admission::Refused(refusal.with_retry_after_ms(UNREAD_RETRY_AFTER_MS));
        }
        if self.quarantined(request).is_empty() {
            // One that is held waits for the verdict on the targets that it may have ended.
            return Admission::Admitted;
        }
        let Some(refusal) = self.quarantine_refusal(request) else { return Admission::Admitted };
        let Some(due) = self.due_trial(request) else { return Admission::Refused(refusal) };
        match self.claim_trial(due).await {
            true => Admission::Trial,
            false => Admission::Refused(refusal),
        }
    }

    /// Returns the refusal of a request that must not be sent to targets.
    pub(crate) fn quarantine_refusal(&self, request: &CallerRequest) -> Option<Refusal> {
        let quarantined = self.quarantined(request).into_iter().next();
        let Some((_, trial_at)) = quarantined else {
            let is_stopped = self.state.borrow().hold(request) == Some(Hold::Stopped);
            let refusal = Refusal::not_run(RefusalCode::Quarantined);
            return is_stopped.then(|| refusal.with_retry_after_ms(QUARANTINED_RETRY_AFTER_MS_MIN));
        };
        let retry_after_ms = trial_at.map_or(QUARANTINED_RETRY_AFTER_MS, |at| at.since(self.now()));
        let refusal = Refusal::not_run(RefusalCode::Quarantined);
        Some(refusal.with_retry_after_ms(retry_after_ms.max(QUARANTINED_RETRY_AFTER_MS_MIN)))
    }

    /// Returns a quarantined cause that a request holds.
    pub(crate) fn quarantined_cause(&self, request: &CallerRequest) -> Option<CauseDigest> {
        self.quarantined(request).first().map(|(digest, _)| *digest)
    }

    /// Returns the quarantined causes that a request holds, with the times of their trials.
    fn quarantined(&self, request: &CallerRequest) -> Vec<(CauseDigest, Option<TimeMs>)> {
        let state = self.state.borrow();
        let quarantined =
            request.causes().filter_map(|(digest, _)| match state.standing(digest)? {
                Standing::Quarantined { trial_at } => Some((digest, trial_at)),
                Standing::Suspected => None,
            });
        quarantined.collect()
    }

    /// Returns the cause whose trial a request can be, if one is due and nothing else that the request
    /// holds is quarantined.
    fn due_trial(&self, request: &CallerRequest) -> Option<CauseDigest> {
        match self.quarantined(request)[..] {
            [(digest, Some(trial_at))] if trial_at <= self.now() => Some(digest),
            _ => None,
        }
    }

    async fn claim_trial(&self, digest: CauseDigest) -> bool {
        let (reply, is_granted) = async_channel::bounded(1);
        self.notify_control(TrafficReport::TrialDue(digest, reply));
        let late = async {
            Timer::after(TRIAL_CLAIM_TIMEOUT).await;
            false
        };
        smol::future::or(async { is_granted.recv().await.unwrap_or(false) }, late).await
    }

    /// Returns what a target is running, to be held responsible if it has ended.
    pub(crate) fn ended_run(
        &self,
        ticket: Ticket,
        request: &CallerRequest,
        (at, sent_at): (&Destination, TimeMs),
    ) -> EndedRun {
        let broken_at = self.now();
        let streamed_ms = self.state.borrow().streaming_ms(broken_at, ticket);
        let (request, destination) = (request.clone(), at.clone());
        EndedRun { request, destination, sent_at, broken_at, streamed_ms }
    }

    /// Records that a target ended while it was running a request.
    pub(crate) fn record_crash(&self, run: &EndedRun) {
        let EndedRun { request, destination, sent_at, broken_at, streamed_ms } = run;
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        for (digest, kind) in request.causes() {
            // A part ends targets as soon as they begin to answer.
            let is_part = kind != CauseKind::Content;
            if is_part && streamed_ms.is_some_and(|ms| ms >= SOUND_STREAMING_MS) {
                continue;
            }
            // A content that ends its target again is guilty whatever it did before; a part may be
            // there beside what is guilty.
            let ends_again = !is_part && state.crashes.precede(digest, *sent_at);
            if ends_again {
                state.crashes.clear_excuses(digest);
            }
            let excused = state.sound_runs.contains(digest) && !ends_again;
            let report = CrashReport {
                digest,
                kind,
                organisation: request.organisation.clone().filter(|_| !is_part),
                route: request.route.name.clone(),
                service: destination.service.clone(),
                target: destination.target.clone(),
                started_at_ms: destination.started_at_ms,
                broken_at: *broken_at,
                excused,
            };
            // What has begun to answer is less likely to have ended its target.
            let has_begun = streamed_ms.is_some() && request.may_repeat();
            let is_likely = is_part || !has_begun || state.crashes.has_other(&report);
            let is_suspected = state.standing(digest).is_some();
            let is_urgent = !excused && (is_suspected || is_likely);
            if !state.crashes.record(now, report, is_urgent) {
                self.log_end_unattributed(digest, &destination.target, "too many crashes");
            }
        }
        self.report_due(state.take_due_crashes(now));
    }

    /// Logs the end of a target that is held against no request.
    pub(crate) fn log_unattributed(&self, run: &EndedRun, why: &'static str) {
        self.log_end_unattributed(run.request.digest, &run.destination.target, why);
    }

    fn log_end_unattributed(&self, digest: CauseDigest, target: &VmName, why: &'static str) {
        info!(self.log, "end not attributed"; "digest" => digest.to_string(),
            "target" => target.as_str(), "why" => why);
    }

    /// Acquits a cause of the crashes that are not reported yet, as a target has run it.
    fn acquit_of_pending(&self, state: &mut DispatchState, digest: CauseDigest) {
        state.sound_runs.record(self.now(), digest);
        for crash in state.crashes.completed(digest) {
            self.log_end_unattributed(digest, &crash.target, "completed elsewhere");
        }
    }

    /// Reports crashes to the control thread once they have settled.
    pub(crate) fn report_crashes(&self) {
        let due = self.state.borrow_mut().take_due_crashes(self.now());
        self.report_due(due);
    }

    fn report_due(&self, due: Vec<CrashReport>) {
        if !due.is_empty() {
            self.notify_control(TrafficReport::Crashed(due));
        }
    }

    /// Records that a target has completed a request that was sent to it at `sent_at`.
    pub(crate) fn acquit(&self, request: &CallerRequest, sent_at: TimeMs) {
        let mut state = self.state.borrow_mut();
        for (digest, _) in request.causes() {
            self.acquit_of_pending(&mut state, digest);
            if state.standing(digest).is_some() {
                info!(self.log, "suspected request completed"; "digest" => digest.to_string());
                self.notify_control(TrafficReport::Completed(digest, sent_at));
            }
        }
    }

    /// Records that a target goes on with a stream whose answer it has begun.
    pub(crate) fn record_sound(&self, request: &CallerRequest) {
        let mut state = self.state.borrow_mut();
        for part in &request.parts {
            self.acquit_of_pending(&mut state, *part);
        }
    }
}

impl PendingCrash for CrashReport {
    fn digest(&self) -> CauseDigest {
        self.digest
    }

    fn is_same_as(&self, other: &Self) -> bool {
        (&self.target, self.started_at_ms) == (&other.target, other.started_at_ms)
    }

    fn ended_at(&self) -> TimeMs {
        self.broken_at
    }

    fn clear_excuse(&mut self) {
        self.excused = false;
    }
}
