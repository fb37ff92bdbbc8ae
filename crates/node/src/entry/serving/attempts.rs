use celeryhaven_policy::{PolicyEvent, RequestPolicy, Ticket};
use celeryhaven_types::{RefusalCode, TimeMs, Verdict};

use crate::entry::{Attempt, AttemptEvent, EntryAction, EntryNode};

/// Progress and completion of attempts.
impl<P: RequestPolicy> EntryNode<P> {
    /// Processes an attempt event; ignores events of earlier attempts and of completed requests.
    pub(crate) fn attempt_event(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        attempt: Attempt,
        event: AttemptEvent,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let Some(running) = request.running_as(attempt) else { return };
        let target = running.target;
        let was_cancelled = running.cancelled_until.is_some();
        match event {
            AttemptEvent::Sent => {}
            AttemptEvent::Started => {
                if !std::mem::replace(&mut running.started, true) {
                    self.notify_policy(now, PolicyEvent::Started { ticket }, out);
                }
            }
            AttemptEvent::Progress { tokens } => {
                request.delivered_tokens = request.delivered_tokens.saturating_add(tokens);
            }
            AttemptEvent::Finished => self.attempt_finished(now, ticket, out),
            AttemptEvent::ConnectFailed => {
                self.suspect(now, target, out);
                self.attempt_failed(now, ticket, Verdict::NotRun, out);
            }
            AttemptEvent::Expired => self.attempt_failed(now, ticket, Verdict::NotRun, out),
            AttemptEvent::Refused => {
                self.expedite_polls(now, target);
                self.attempt_failed(now, ticket, Verdict::NotRun, out);
            }
            AttemptEvent::Failed => {
                // A failure caused by our own cancel is no evidence against the target.
                if !was_cancelled {
                    self.suspect(now, target, out);
                }
                self.attempt_failed(now, ticket, Verdict::MayHaveRun, out);
            }
        }
    }

    fn attempt_finished(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.remove(ticket) else { return };
        let output_tokens = request.delivered_tokens;
        self.complete_key_answered(now, ticket, &request, out);
        self.notify_policy(now, PolicyEvent::Finished { ticket, output_tokens }, out);
    }

    /// Completes the running attempt as failed; the policy retries or refuses the request.
    pub(crate) fn attempt_failed(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        verdict: Verdict,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        request.complete_attempt(verdict);
        self.notify_policy(now, PolicyEvent::AttemptFailed { ticket, verdict }, out);
        if self.requests.get(ticket).is_some_and(|request| request.is_final) {
            self.refuse_admitted(now, ticket, RefusalCode::AnswerLost, out);
        }
    }
}
