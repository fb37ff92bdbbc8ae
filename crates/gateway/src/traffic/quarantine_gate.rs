use std::time::Duration;

use celeryhaven_quarantine::{PendingCrash, RequestDigest, Standing};
use celeryhaven_types::{Refusal, RefusalCode, TimeMs};
use slog::info;
use smol::Timer;

use crate::adapter::Adapter;
use crate::traffic::{
    CallerRequest, CrashReport, Destination, DestinationName, Dispatcher, TrafficReport,
};

/// Longest wait for the claim of a trial, which is one write to the store.
const TRIAL_CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry delay of a quarantined request without further trials, in milliseconds.
const QUARANTINED_RETRY_AFTER_MS: u64 = 60_000;

/// Shortest retry delay of a quarantined request, in milliseconds.
const QUARANTINED_RETRY_AFTER_MS_MIN: u64 = 1_000;

/// Retry delay while this node has not read the quarantine yet, in milliseconds.
const UNREAD_RETRY_AFTER_MS: u64 = 300;

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
        let Some(refusal) = self.quarantine_refusal(request.digest) else {
            return Admission::Admitted;
        };
        match self.is_trial_due(request.digest) && self.claim_trial(request.digest).await {
            true => Admission::Trial,
            false => Admission::Refused(refusal),
        }
    }

    /// Returns the refusal of a request that must not be sent to targets.
    pub(crate) fn quarantine_refusal(&self, digest: RequestDigest) -> Option<Refusal> {
        let Some(Standing::Quarantined { trial_at }) = self.state.borrow().standing(digest) else {
            return None;
        };
        let retry_after_ms = trial_at.map_or(QUARANTINED_RETRY_AFTER_MS, |at| at.since(self.now()));
        let refusal = Refusal::not_run(RefusalCode::Quarantined);
        Some(refusal.with_retry_after_ms(retry_after_ms.max(QUARANTINED_RETRY_AFTER_MS_MIN)))
    }

    fn is_trial_due(&self, digest: RequestDigest) -> bool {
        let standing = self.state.borrow().standing(digest);
        let trial_at = match standing {
            Some(Standing::Quarantined { trial_at }) => trial_at,
            _ => None,
        };
        trial_at.is_some_and(|at| at <= self.now())
    }

    async fn claim_trial(&self, digest: RequestDigest) -> bool {
        let (reply, is_granted) = async_channel::bounded(1);
        self.notify_control(TrafficReport::TrialDue(digest, reply));
        let late = async {
            Timer::after(TRIAL_CLAIM_TIMEOUT).await;
            false
        };
        smol::future::or(async { is_granted.recv().await.unwrap_or(false) }, late).await
    }

    /// Records that a connection broke while its target may have been running a request.
    ///
    /// A node that is isolated cannot tell.
    pub(crate) fn record_crash(&self, request: &CallerRequest, destination: &Destination) {
        let is_peer = matches!(destination.name, DestinationName::Peer(_));
        if is_peer {
            return;
        }
        if self.link_check.links.is_isolated(&destination.service) {
            return self.log_unattributed(request.digest, destination.target.as_str(), "isolated");
        }
        let report = CrashReport {
            digest: request.digest,
            organisation: request.organisation.clone(),
            route: request.route.name.clone(),
            service: destination.service.clone(),
            target: destination.target.clone(),
            started_at_ms: destination.started_at_ms,
        };
        let now = self.now();
        {
            let mut state = self.state.borrow_mut();
            let is_sound = state.sound_runs.contains(request.digest);
            let is_settled = !request.may_repeat() || state.crashes.has_other(&report);
            let is_urgent = state.standing(request.digest).is_some() || (is_settled && !is_sound);
            state.sound_runs.forget(request.digest);
            state.crashes.record(now, report, is_urgent);
        }
        self.report_crashes();
    }

    /// Logs the end of a target that is held against no request.
    pub(crate) fn log_unattributed(&self, digest: RequestDigest, target: &str, why: &'static str) {
        info!(self.log, "end not attributed"; "digest" => digest.to_string(), "target" => target,
            "why" => why);
    }

    /// Reports crashes to the control thread once they have settled.
    pub(crate) fn report_crashes(&self) {
        let mut state = self.state.borrow_mut();
        let due = state.take_due_crashes(self.now());
        if !due.is_empty() {
            self.notify_control(TrafficReport::Crashed(due));
        }
    }

    /// Records that a target has completed a request that was sent to it at `sent_at`.
    pub(crate) fn acquit(&self, digest: RequestDigest, sent_at: TimeMs) {
        let mut state = self.state.borrow_mut();
        state.sound_runs.record(self.now(), digest);
        state.crashes.completed(digest);
        if state.standing(digest).is_some() {
            info!(self.log, "suspected request completed"; "digest" => digest.to_string());
            self.notify_control(TrafficReport::Completed(digest, sent_at));
        }
    }
}

impl PendingCrash for CrashReport {
    fn digest(&self) -> RequestDigest {
        self.digest
    }
}
