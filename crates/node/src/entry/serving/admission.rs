use celeryhaven_policy::{PolicyEvent, RequestPolicy, Ticket};
use celeryhaven_types::{
    Config, OrganisationName, Refusal, RefusalCode, RequestClass, RequestHead, TimeMs, Verdict,
};

use crate::entry::serving::{Request, Stage};
use crate::entry::{EntryAction, EntryNode, KeyUse};

/// How requests come in, and how their callers leave.
impl<P: RequestPolicy> EntryNode<P> {
    pub(crate) fn arrived(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        head: RequestHead,
        key: KeyUse,
        passed_on: bool,
        out: &mut Vec<EntryAction>,
    ) {
        if self.requests.contains(ticket) {
            return;
        }
        let request = Request::new(now, head);
        let guarded = request.is_non_idempotent();
        self.requests.insert(ticket, request);
        match key {
            KeyUse::Presented(text) if guarded => {
                self.key_presented(now, ticket, &text, passed_on, out);
            }
            _ => self.admit(now, ticket, out),
        }
    }

    /// Hands a request to the policy, or refuses what no target may run for this caller.
    pub(crate) fn admit(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<EntryAction>) {
        let is_serving = self.is_serving();
        let Some(request) = self.requests.get_mut(ticket) else { return };
        request.stage = Stage::Admitted;
        request.head.deadline_in_ms = request.deadline_at.since(now);
        let config = self.catalogue.config().filter(|_| is_serving);
        let refused = match config {
            None => Some(Refusal::not_run(RefusalCode::NodeUnavailable)),
            Some(config) => forbidden(config, &request.head).map(Refusal::not_run),
        };
        if let Some(refusal) = refused {
            return self.end_refused(now, ticket, refusal, out);
        }
        let mut decisions = Vec::new();
        let event = PolicyEvent::Arrived { ticket, head: &request.head };
        self.policy.handle(now, event, &mut decisions);
        for decision in decisions {
            self.decide(now, decision, out);
        }
    }

    /// The caller closed its connection.
    ///
    /// A guarded request that has left for a target runs on: a retry with the same key gets its
    /// answer, where a cancel would leave only "may have run" to say.
    pub(crate) fn caller_gone(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        if request.keyed && request.running.is_some() {
            request.caller_gone = true;
            return;
        }
        let Some(request) = self.requests.remove(ticket) else { return };
        if let Some(running) = request.running {
            out.push(EntryAction::CancelAttempt { ticket, attempt: running.attempt });
        }
        let refusal = Refusal { verdict: request.verdict(), ..GONE };
        self.key_ended_refused(now, ticket, &request, refusal, out);
        if request.stage == Stage::Admitted {
            self.ask(now, PolicyEvent::CallerDisconnected { ticket }, out);
        }
    }

    /// A timer of a request is due.
    pub(crate) fn request_timer(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let cancelled = request.running.and_then(|running| running.cancelled_until);
        if cancelled.is_some_and(|until| until <= now) {
            self.attempt_broken(now, ticket, Verdict::MayHaveRun, out);
        } else if request.stage == Stage::PassedOn {
            self.passed_on(ticket, false, out);
        }
    }
}

const GONE: Refusal = Refusal::not_run(RefusalCode::CallerGone);

/// Why nothing may run the request for this organisation, if so.
fn forbidden(config: &Config, head: &RequestHead) -> Option<RefusalCode> {
    let may_use = |organisations: &[OrganisationName]| {
        organisations.is_empty() || organisations.contains(&head.organisation)
    };
    match &head.class {
        RequestClass::Completion { model, adapter } => {
            let serves = config.intent.deployments.iter().filter(|known| {
                known.model == *model
                    && adapter.as_ref().is_none_or(|adapter| known.adapters.contains(adapter))
            });
            let allowed: Vec<bool> = serves.map(|known| may_use(&known.organisations)).collect();
            verdict_of(&allowed, RefusalCode::UnknownModel)
        }
        RequestClass::Plain { service } => {
            let named = config.intent.services.iter().filter(|known| known.name == *service);
            let allowed: Vec<bool> = named.map(|known| may_use(&known.organisations)).collect();
            verdict_of(&allowed, RefusalCode::UnknownService)
        }
    }
}

fn verdict_of(allowed: &[bool], unknown: RefusalCode) -> Option<RefusalCode> {
    match allowed {
        [] => Some(unknown),
        some if some.contains(&true) => None,
        _ => Some(RefusalCode::Forbidden),
    }
}
