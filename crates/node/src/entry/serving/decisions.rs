use celeryhaven_policy::{Decision, PolicyEvent, RequestPolicy, TargetKey, Ticket};
use celeryhaven_types::{Refusal, RefusalCode, TimeMs, Verdict};

use crate::entry::serving::Running;
use crate::entry::{EntryAction, EntryNode};

/// What the policy decides, checked against what this node knows of the request and the target.
impl<P: RequestPolicy> EntryNode<P> {
    /// Gives the policy an event and carries its decisions out.
    pub(crate) fn ask(&mut self, now: TimeMs, event: PolicyEvent<'_>, out: &mut Vec<EntryAction>) {
        let mut decisions = Vec::new();
        self.policy.handle(now, event, &mut decisions);
        for decision in decisions {
            self.decide(now, decision, out);
        }
    }

    pub(crate) fn decide(&mut self, now: TimeMs, decision: Decision, out: &mut Vec<EntryAction>) {
        match decision {
            Decision::Dispatch { ticket, target } => self.dispatch(now, ticket, target, out),
            Decision::Refuse { ticket, refusal } => self.end_refused(now, ticket, refusal, out),
            Decision::Cancel { ticket } => self.cancel(now, ticket, out),
        }
    }

    /// Sends a request to a target, unless the request may not run again or the target is lost.
    ///
    /// `send_before` bounds two pauses of this process after the decision: the caller's deadline,
    /// and the moment at which the newest reports no longer prove that the target is whole.
    fn dispatch(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        key: TargetKey,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        if request.running.is_some() {
            return;
        }
        if request.is_final {
            return self.give_up(now, ticket, RefusalCode::AnswerLost, out);
        }
        let target = self.targets.get(key);
        let life_ms = self.settings.report_life_ms;
        let until = target.filter(|_| !self.pause.is_holding());
        let until = until.and_then(|target| target.routable_until(now, life_ms));
        let address = target.and_then(|target| target.address);
        let (Some(target), Some(until), Some(address)) = (target, until, address) else {
            self.announce(now, key, out);
            let broken = PolicyEvent::AttemptFailed { ticket, verdict: Verdict::NotRun };
            return self.ask(now, broken, out);
        };
        request.attempt = request.attempt.next();
        let attempt = request.attempt;
        request.running =
            Some(Running { attempt, target: key, started: false, cancelled_until: None });
        out.push(EntryAction::Dispatch {
            ticket,
            attempt,
            address,
            replica: target.formation(),
            send_before: request.deadline_at.min(until),
            resume_from: request.delivered_tokens,
        });
    }

    /// Stops the running attempt; it ends when the driver says how, or after `cancel_wait_ms`.
    ///
    /// A cancel that is not acknowledged proves nothing, so without a word from the driver the
    /// attempt counts as run.
    pub(crate) fn cancel(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<EntryAction>) {
        let until = now.after(self.settings.cancel_wait_ms);
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let Some(running) = request.running.as_mut() else { return };
        if running.cancelled_until.is_none() {
            running.cancelled_until = Some(until);
            out.push(EntryAction::CancelAttempt { ticket, attempt: running.attempt });
            self.requests.set_timer(until, ticket);
        }
    }

    /// Ends a request that the policy holds, against or without its decision.
    pub(crate) fn give_up(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        code: RefusalCode,
        out: &mut Vec<EntryAction>,
    ) {
        self.end_refused(now, ticket, Refusal::not_run(code), out);
        self.ask(now, PolicyEvent::CallerDisconnected { ticket }, out);
    }

    /// Gives a request its final refusal, with the verdict that this node's own record proves.
    pub(crate) fn end_refused(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        refusal: Refusal,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.remove(ticket) else { return };
        if let Some(running) = request.running {
            out.push(EntryAction::CancelAttempt { ticket, attempt: running.attempt });
        }
        let refusal = Refusal { verdict: request.verdict(), ..refusal };
        if !request.caller_gone {
            out.push(EntryAction::Refuse { ticket, refusal });
        }
        self.key_ended_refused(now, ticket, &request, refusal, out);
    }
}
