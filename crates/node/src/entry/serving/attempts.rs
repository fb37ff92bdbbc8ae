use celeryhaven_policy::{PolicyEvent, RequestPolicy, Ticket};
use celeryhaven_types::{RefusalCode, TimeMs, Verdict};

use crate::entry::{Attempt, AttemptEvent, EntryAction, EntryNode};

/// What becomes of attempts at targets.
impl<P: RequestPolicy> EntryNode<P> {
    /// Takes an attempt's event; one of an earlier attempt or an ended request changes nothing.
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
                    self.ask(now, PolicyEvent::Started { ticket }, out);
                }
            }
            AttemptEvent::Progress { tokens } => {
                request.delivered_tokens = request.delivered_tokens.saturating_add(tokens);
            }
            AttemptEvent::Finished => self.attempt_finished(now, ticket, out),
            AttemptEvent::ConnectFailed => {
                self.suspect(now, target, out);
                self.attempt_broken(now, ticket, Verdict::NotRun, out);
            }
            AttemptEvent::Expired => self.attempt_broken(now, ticket, Verdict::NotRun, out),
            AttemptEvent::Refused => {
                self.hasten_polls(now, target);
                self.attempt_broken(now, ticket, Verdict::NotRun, out);
            }
            AttemptEvent::Broken => {
                // An attempt that this node cancelled says nothing about its target.
                if !was_cancelled {
                    self.suspect(now, target, out);
                }
                self.attempt_broken(now, ticket, Verdict::MayHaveRun, out);
            }
        }
    }

    fn attempt_finished(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.remove(ticket) else { return };
        let output_tokens = request.delivered_tokens;
        self.key_ended_answered(now, ticket, &request, out);
        self.ask(now, PolicyEvent::Finished { ticket, output_tokens }, out);
    }

    /// Ends the running attempt; the policy sends the request elsewhere, or it gets its refusal.
    pub(crate) fn attempt_broken(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        verdict: Verdict,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        request.attempt_ended(verdict);
        self.ask(now, PolicyEvent::AttemptFailed { ticket, verdict }, out);
        if self.requests.get(ticket).is_some_and(|request| request.is_final) {
            self.give_up(now, ticket, RefusalCode::AnswerLost, out);
        }
    }
}
