use celeryhaven_policy::{PolicyEvent, RequestPolicy, Ticket};
use celeryhaven_types::{
    Config, OrganisationName, Refusal, RefusalCode, RequestClass, RequestHead, TimeMs, Verdict,
};

use crate::entry::serving::{Request, Stage};
use crate::entry::{EntryAction, EntryNode, KeyUse};

/// Arrival of requests and disconnection of callers.
impl<P: RequestPolicy> EntryNode<P> {
    pub(crate) fn arrived(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        head: RequestHead,
        key: KeyUse,
        delegated: bool,
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
                self.key_presented(now, ticket, &text, delegated, out);
            }
            _ => self.admit(now, ticket, out),
        }
    }

    /// Passes a request to the policy, or refuses it if no target may run it for this caller.
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
            return self.complete_refused(now, ticket, refusal, out);
        }
        let mut decisions = Vec::new();
        let event = PolicyEvent::Arrived { ticket, head: &request.head };
        self.policy.handle(now, event, &mut decisions);
        for decision in decisions {
            self.execute(now, decision, out);
        }
    }

    /// Handles a caller that closed its connection.
    ///
    /// A keyed request with a running attempt continues, so that a retry with the same key receives
    /// its answer instead of "may have run".
    pub(crate) fn caller_disconnected(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        if request.keyed && request.running.is_some() {
            request.caller_disconnected = true;
            return;
        }
        let Some(request) = self.requests.remove(ticket) else { return };
        if let Some(running) = request.running {
            out.push(EntryAction::CancelAttempt { ticket, attempt: running.attempt });
        }
        let refusal = Refusal { verdict: request.verdict(), ..CALLER_DISCONNECTED };
        self.complete_key_refused(now, ticket, &request, refusal, out);
        if request.stage == Stage::Admitted {
            self.notify_policy(now, PolicyEvent::CallerDisconnected { ticket }, out);
        }
    }

    /// Handles a request timer that is due.
    pub(crate) fn request_timer(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let cancelled = request.running.and_then(|running| running.cancelled_until);
        if cancelled.is_some_and(|until| until <= now) {
            self.attempt_failed(now, ticket, Verdict::MayHaveRun, out);
        } else if request.stage == Stage::Delegated {
            self.delegation_completed(ticket, false, out);
        }
    }
}

const CALLER_DISCONNECTED: Refusal = Refusal::not_run(RefusalCode::CallerGone);

/// Returns why the organisation may not run the request, if so.
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
            refusal_code(&allowed, RefusalCode::UnknownModel)
        }
        RequestClass::Plain { service } => {
            let named = config.intent.services.iter().filter(|known| known.name == *service);
            let allowed: Vec<bool> = named.map(|known| may_use(&known.organisations)).collect();
            refusal_code(&allowed, RefusalCode::UnknownService)
        }
    }
}

fn refusal_code(allowed: &[bool], unknown: RefusalCode) -> Option<RefusalCode> {
    match allowed {
        [] => Some(unknown),
        some if some.contains(&true) => None,
        _ => Some(RefusalCode::Forbidden),
    }
}
