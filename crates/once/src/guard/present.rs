use celeryhaven_types::store::ObjectKey;
use celeryhaven_types::{Refusal, RefusalCode, TimeMs};

use crate::claims::{ClaimOutcome, ClaimStart, ResolvedClaim, claim_key};
use crate::guard::once::{
    CLAIM_RETRY_AFTER_MS, KeyId, Waiting, answer_lost, claim_unavailable, push_calls,
};
use crate::guard::{KeyedRequest, Once, OnceAction};
use crate::key::{KeyStatus, RequestKey};
use crate::ledger::EnterOutcome;

/// Processing of requests that carry a key.
impl<T: Copy + Ord> Once<T> {
    pub(super) fn present_issued(
        &mut self,
        now: TimeMs,
        request: &KeyedRequest<'_, T>,
        out: &mut Vec<OnceAction<T>>,
    ) {
        let ticket = request.ticket;
        let unknown = Refusal::not_run(RefusalCode::UnknownKey);
        let Ok(key) = request.key.parse::<RequestKey>() else {
            return out.push(OnceAction::Refuse { ticket, refusal: unknown });
        };
        if key.issuer != self.incarnation {
            let issuer_gone = Refusal::may_have_run(RefusalCode::IssuerGone);
            out.push(match request.delegated {
                true => OnceAction::Refuse { ticket, refusal: issuer_gone },
                false => OnceAction::Delegate { ticket, to: key.issuer },
            });
            return;
        }
        match self.issuer.check(now, request.organisation, &key) {
            KeyStatus::Unknown => out.push(OnceAction::Refuse { ticket, refusal: unknown }),
            KeyStatus::Expired => {
                let refusal = Refusal::may_have_run(RefusalCode::UnknownKey);
                out.push(OnceAction::Refuse { ticket, refusal });
            }
            KeyStatus::Valid { until } => {
                let waiting = Waiting {
                    claim: None,
                    fingerprint: request.fingerprint,
                    until,
                    deadline_at: request.deadline_at,
                    timer_at: request.deadline_at,
                };
                self.enter(KeyId::Issued(key.sequence), ticket, waiting, out);
            }
        }
    }

    pub(super) fn present_caller_key(
        &mut self,
        now: TimeMs,
        request: &KeyedRequest<'_, T>,
        out: &mut Vec<OnceAction<T>>,
    ) {
        let ticket = request.ticket;
        let key = claim_key(request.organisation, request.key);
        let waiting = Waiting {
            claim: Some(key.clone()),
            fingerprint: request.fingerprint,
            until: now.after(self.settings.claim_life_ms),
            deadline_at: request.deadline_at,
            timer_at: request.deadline_at,
        };
        let mut calls = Vec::new();
        let started = self.claims.start(now, &key, ticket, request.delegated, &mut calls);
        push_calls(calls, out);
        match started {
            ClaimStart::Resolved(outcome) => self.apply_claim(key, ticket, waiting, &outcome, out),
            ClaimStart::LimitReached => out.push(claim_unavailable(ticket)),
            ClaimStart::Pending => {
                let wait = now.after(self.settings.claim_wait_ms).min(waiting.deadline_at);
                self.wait(ticket, Waiting { timer_at: wait, ..waiting });
            }
        }
    }

    pub(super) fn apply_resolved_claim(
        &mut self,
        resolved: ResolvedClaim<T>,
        out: &mut Vec<OnceAction<T>>,
    ) {
        for ticket in resolved.waiting {
            let Some(waiting) = self.stop_waiting(ticket) else { continue };
            self.apply_claim(resolved.key.clone(), ticket, waiting, &resolved.outcome, out);
        }
    }

    fn apply_claim(
        &mut self,
        key: ObjectKey,
        ticket: T,
        waiting: Waiting,
        outcome: &ClaimOutcome,
        out: &mut Vec<OnceAction<T>>,
    ) {
        match outcome {
            ClaimOutcome::Owned => {
                let until = self.claims.until(&key).unwrap_or(waiting.until);
                self.enter(KeyId::CallerChosen(key), ticket, Waiting { until, ..waiting }, out);
            }
            ClaimOutcome::Foreign(owner) => {
                out.push(OnceAction::Delegate { ticket, to: owner.clone() });
            }
            ClaimOutcome::Spent => out.push(answer_lost(ticket)),
        }
    }

    fn enter(&mut self, key: KeyId, ticket: T, waiting: Waiting, out: &mut Vec<OnceAction<T>>) {
        match self.ledger.enter(key, ticket, waiting.fingerprint, waiting.until) {
            EnterOutcome::Run => out.push(OnceAction::Run { ticket }),
            EnterOutcome::Wait => {
                let timer_at = waiting.deadline_at;
                self.wait(ticket, Waiting { claim: None, timer_at, ..waiting });
            }
            EnterOutcome::Replay { of } => out.push(OnceAction::Replay { ticket, of }),
            EnterOutcome::Spent => out.push(answer_lost(ticket)),
            EnterOutcome::Mismatch => {
                let refusal = Refusal::may_have_run(RefusalCode::KeyInUse);
                out.push(OnceAction::Refuse { ticket, refusal });
            }
            EnterOutcome::Full => {
                let refusal = Refusal::not_run(RefusalCode::Overloaded)
                    .with_retry_after_ms(CLAIM_RETRY_AFTER_MS);
                out.push(OnceAction::Refuse { ticket, refusal });
            }
        }
    }
}
