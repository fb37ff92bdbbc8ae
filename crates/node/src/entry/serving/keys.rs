use celeryhaven_once::{KeyedRequest, OnceAction};
use celeryhaven_policy::{RequestPolicy, Ticket};
use celeryhaven_types::{Incarnation, Refusal, RefusalCode, TimeMs};

use crate::entry::serving::{Request, Stage, fingerprint};
use crate::entry::{EntryAction, EntryNode};

/// How long after its deadline a delegated request may stay without an answer.
const DELEGATION_GRACE_MS: u64 = 1_000;
/// Retry delay for callers while the issuer of a key is unreachable.
const ISSUER_RETRY_AFTER_MS: u64 = 1_000;

/// At-most-once execution of keyed requests.
impl<P: RequestPolicy> EntryNode<P> {
    pub(crate) fn key_presented(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        key: &str,
        delegated: bool,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        request.keyed = true;
        let keyed = KeyedRequest {
            ticket,
            organisation: &request.head.organisation,
            key,
            fingerprint: fingerprint(&request.head),
            deadline_at: request.deadline_at,
            delegated,
        };
        let mut actions = Vec::new();
        self.once.present(now, keyed, &mut actions);
        self.apply_once(now, actions, out);
    }

    /// Executes the actions of the at-most-once guard.
    pub(crate) fn apply_once(
        &mut self,
        now: TimeMs,
        actions: Vec<OnceAction<Ticket>>,
        out: &mut Vec<EntryAction>,
    ) {
        for action in actions {
            match action {
                OnceAction::Run { ticket } => self.admit(now, ticket, out),
                OnceAction::Delegate { ticket, to } => self.delegate(ticket, to, out),
                OnceAction::Refuse { ticket, refusal } => {
                    if self.requests.remove(ticket).is_some() {
                        out.push(EntryAction::Refuse { ticket, refusal });
                    }
                }
                OnceAction::Replay { ticket, of } => {
                    if self.requests.remove(ticket).is_some() {
                        out.push(EntryAction::Replay { ticket, of });
                    }
                }
                OnceAction::DropAnswer { ticket } => out.push(EntryAction::Forget { ticket }),
                OnceAction::Store { call: once_call, request } => {
                    let call = self.next_call();
                    self.once_calls.insert(call, once_call);
                    out.push(EntryAction::Store { call, request });
                }
            }
        }
    }

    /// Delegates a request to the incarnation that alone may run its key.
    ///
    /// If that incarnation no longer exists, an earlier attempt may have run there, so the request
    /// is refused as "may have run".
    fn delegate(&mut self, ticket: Ticket, to: Incarnation, out: &mut Vec<EntryAction>) {
        let address = self.peers.address_of(&to);
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let Some(address) = address else {
            self.requests.remove(ticket);
            let refusal = Refusal::may_have_run(RefusalCode::IssuerGone);
            return out.push(EntryAction::Refuse { ticket, refusal });
        };
        request.stage = Stage::Delegated;
        let until = request.deadline_at.after(DELEGATION_GRACE_MS);
        self.requests.set_timer(until, ticket);
        out.push(EntryAction::Delegate { ticket, to, address });
    }

    /// Completes a delegated request; without an answer it may have run at the issuer.
    pub(crate) fn delegation_completed(
        &mut self,
        ticket: Ticket,
        answered: bool,
        out: &mut Vec<EntryAction>,
    ) {
        if self.requests.get(ticket).is_none_or(|request| request.stage != Stage::Delegated) {
            return;
        }
        self.requests.remove(ticket);
        if !answered {
            let refusal = Refusal::may_have_run(RefusalCode::IssuerGone)
                .with_retry_after_ms(ISSUER_RETRY_AFTER_MS);
            out.push(EntryAction::Refuse { ticket, refusal });
        }
    }

    pub(crate) fn complete_key_answered(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        request: &Request,
        out: &mut Vec<EntryAction>,
    ) {
        if request.keyed {
            let mut actions = Vec::new();
            self.once.record_answer(now, ticket, &mut actions);
            self.apply_once(now, actions, out);
        }
    }

    pub(crate) fn complete_key_refused(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        request: &Request,
        refusal: Refusal,
        out: &mut Vec<EntryAction>,
    ) {
        if !request.keyed {
            return;
        }
        match request.stage {
            Stage::Keyed => self.once.withdraw(ticket),
            Stage::Delegated => {}
            Stage::Admitted => {
                let mut actions = Vec::new();
                self.once.record_refusal(ticket, refusal, &mut actions);
                self.apply_once(now, actions, out);
            }
        }
    }
}
