use celeryhaven_policy::{Decision, PolicyEvent, RequestPolicy, TargetKey, Ticket};
use celeryhaven_types::{Refusal, RefusalCode, TimeMs, Verdict};

use crate::entry::serving::Running;
use crate::entry::{EntryAction, EntryNode};

/// Execution of the policy's decisions, validated against the state of request and target.
impl<P: RequestPolicy> EntryNode<P> {
    /// Passes an event to the policy and executes its decisions.
    pub(crate) fn notify_policy(
        &mut self,
        now: TimeMs,
        event: PolicyEvent<'_>,
        out: &mut Vec<EntryAction>,
    ) {
        let mut decisions = Vec::new();
        self.policy.handle(now, event, &mut decisions);
        for decision in decisions {
            self.execute(now, decision, out);
        }
    }

    pub(crate) fn execute(&mut self, now: TimeMs, decision: Decision, out: &mut Vec<EntryAction>) {
        match decision {
            Decision::Dispatch { ticket, target } => self.dispatch(now, ticket, target, out),
            Decision::Refuse { ticket, refusal } => {
                self.complete_refused(now, ticket, refusal, out);
            }
            Decision::Cancel { ticket } => self.cancel(now, ticket, out),
            Decision::ReportSlow { .. } | Decision::DenyRetry { .. } => {}
        }
    }

    /// Sends a request to a target, unless the request may not run again or the target is
    /// unavailable.
    ///
    /// `send_before` limits the effect of a process pause after the decision: it is the earlier of
    /// the caller's deadline and the expiry of the target's wholeness reports.
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
            return self.refuse_admitted(now, ticket, RefusalCode::AnswerLost, out);
        }
        let target = self.targets.get(key);
        let life_ms = self.settings.report_life_ms;
        let until = target.filter(|_| !self.pause.is_holding());
        let until = until.and_then(|target| target.eligible_until(now, life_ms));
        let address = target.and_then(|target| target.address);
        let (Some(target), Some(until), Some(address)) = (target, until, address) else {
            self.announce(now, key, out);
            let failed = PolicyEvent::AttemptFailed { ticket, verdict: Verdict::NotRun };
            return self.notify_policy(now, failed, out);
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

    /// Cancels the running attempt; it completes when the driver reports, or after
    /// `cancel_wait_ms`.
    ///
    /// An unacknowledged cancel proves nothing, so without a report the attempt counts as run.
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

    /// Refuses a request held by the policy, and notifies the policy that it is gone.
    pub(crate) fn refuse_admitted(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        code: RefusalCode,
        out: &mut Vec<EntryAction>,
    ) {
        self.complete_refused(now, ticket, Refusal::not_run(code), out);
        self.notify_policy(now, PolicyEvent::CallerDisconnected { ticket }, out);
    }

    /// Completes a request with a refusal whose verdict follows from this node's own record.
    pub(crate) fn complete_refused(
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
        if !request.caller_disconnected {
            out.push(EntryAction::Refuse { ticket, refusal });
        }
        self.complete_key_refused(now, ticket, &request, refusal, out);
    }
}
