use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::store::{ObjectKey, StoreReply, StoreRequest};
use celeryhaven_types::{Incarnation, OrganisationName, Refusal, RefusalCode, TimeMs};

use crate::claims::{Claims, Sweep};
use crate::guard::{KeyedRequest, OnceAction, OnceCall, OnceSettings};
use crate::key::{KeyIssuer, RequestKey};
use crate::ledger::Ledger;

/// Retry delay sent to callers while a key cannot be claimed or recorded, in milliseconds.
pub(super) const CLAIM_RETRY_AFTER_MS: u64 = 1_000;

/// Runs each keyed request at most once, across nodes.
///
/// A refusal says "not run" only if no earlier attempt with the key can have run. If the owner of the
/// key cannot be determined or reached, an earlier attempt may have run there, and the refusal says
/// "may have run". A retry with the same key is always safe.
///
/// `T` is the ticket that identifies a request.
#[derive(Clone, Debug)]
pub struct Once<T> {
    pub(super) incarnation: Incarnation,
    pub(super) settings: OnceSettings,
    pub(super) issuer: KeyIssuer,
    pub(super) ledger: Ledger<KeyId, T>,
    pub(super) claims: Claims<T>,
    sweep: Sweep,
    waiting: BTreeMap<T, Waiting>,
    deadlines: BTreeSet<(TimeMs, T)>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum KeyId {
    Issued(u64),
    CallerChosen(ObjectKey),
}

/// A request that waits for its claim, or for another request with the same key.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) claim: Option<ObjectKey>,
    pub(super) fingerprint: u64,
    pub(super) until: TimeMs,
    pub(super) deadline_at: TimeMs,
    pub(super) timer_at: TimeMs,
}

impl<T: Copy + Ord> Once<T> {
    /// Creates an empty guard; `seed` must be unpredictable where callers are not trusted.
    pub fn new(incarnation: Incarnation, settings: OnceSettings, seed: [u8; 32]) -> Self {
        let life_ms = settings.key_life_ms;
        let issuer = KeyIssuer::new(incarnation.clone(), seed, settings.keys_max, life_ms);
        let claims = Claims::new(
            incarnation.clone(),
            settings.claims_per_s,
            settings.claims_max,
            settings.claim_life_ms,
        );
        Self {
            incarnation,
            settings,
            issuer,
            ledger: Ledger::new(settings.ledger),
            claims,
            sweep: Sweep::new(settings.sweep_interval_ms, 2 * settings.claim_life_ms),
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Issues up to `count` keys to an organisation; fewer while the limits are reached.
    pub fn issue(
        &mut self,
        now: TimeMs,
        organisation: &OrganisationName,
        count: u64,
    ) -> Vec<RequestKey> {
        self.issuer.issue(now, organisation, count)
    }

    /// Returns the lifetime of an issued key, in milliseconds.
    pub const fn key_life_ms(&self) -> u64 {
        self.settings.key_life_ms
    }

    /// Processes a request that carries a key.
    pub fn present(
        &mut self,
        now: TimeMs,
        request: KeyedRequest<'_, T>,
        out: &mut Vec<OnceAction<T>>,
    ) {
        self.drop_expired(now, out);
        if RequestKey::has_issued_prefix(request.key) {
            self.present_issued(now, &request, out);
        } else {
            self.present_caller_key(now, &request, out);
        }
    }

    /// Records that the running request was answered completely and that its answer is cached.
    pub fn record_answer(&mut self, now: TimeMs, ticket: T, out: &mut Vec<OnceAction<T>>) {
        for waiter in self.ledger.record_answer(now, ticket) {
            self.stop_waiting(waiter);
            out.push(OnceAction::Replay { ticket: waiter, of: ticket });
        }
    }

    /// Records that the running request was refused, or that its caller disconnected before it ran.
    pub fn record_refusal(&mut self, ticket: T, refusal: Refusal, out: &mut Vec<OnceAction<T>>) {
        let caller_specific =
            matches!(refusal.code, RefusalCode::DeadlineUnreachable | RefusalCode::CallerGone);
        let released = self.ledger.record_refusal(ticket, refusal.verdict, caller_specific);
        if let Some(next) = released.promoted {
            self.stop_waiting(next);
            out.push(OnceAction::Run { ticket: next });
        }
        for waiter in released.waiting {
            self.stop_waiting(waiter);
            out.push(OnceAction::Refuse { ticket: waiter, refusal });
        }
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn withdraw(&mut self, ticket: T) {
        let claim = self.waiting.get(&ticket).and_then(|waiting| waiting.claim.clone());
        if let Some(key) = claim {
            self.claims.withdraw(&key, ticket);
        }
        self.ledger.withdraw(ticket);
        self.stop_waiting(ticket);
    }

    /// Applies the reply to a call to the Object API.
    pub fn apply_store_reply(
        &mut self,
        now: TimeMs,
        call: OnceCall,
        reply: &StoreReply,
        out: &mut Vec<OnceAction<T>>,
    ) {
        let mut calls = Vec::new();
        let resolved = self.claims.reply(now, call, reply, &mut calls);
        for (key, version) in self.sweep.reply(now, call, reply) {
            let call = self.claims.next_call();
            calls.push((call, StoreRequest::Delete { key, version }));
        }
        push_calls(calls, out);
        if let Some(resolved) = resolved {
            self.apply_resolved_claim(resolved, out);
        }
    }

    /// Processes timers that are due.
    pub fn tick(&mut self, now: TimeMs, out: &mut Vec<OnceAction<T>>) {
        self.drop_expired(now, out);
        let mut calls = Vec::new();
        self.claims.retry(now, &mut calls);
        let ledger = &self.ledger;
        let in_use = |key: &ObjectKey| ledger.contains(&KeyId::CallerChosen(key.clone()));
        self.claims.expire(now, in_use, &mut calls);
        calls.extend(self.sweep.next_list(now, || self.claims.next_call()));
        push_calls(calls, out);
        while self.deadlines.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, ticket)) = self.deadlines.pop_first() else { break };
            self.time_out(ticket, out);
        }
    }

    /// Returns the time at which [`Once::tick`] is next due.
    pub fn next_wake(&self) -> Option<TimeMs> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        [self.claims.next_wake(), self.ledger.next_wake(), self.sweep.next_wake(), deadline]
            .into_iter()
            .flatten()
            .min()
    }

    /// Sets the organisations whose orphaned claims this process deletes.
    ///
    /// One process in the fleet suffices; several are safe.
    pub fn set_swept_organisations(&mut self, organisations: &[OrganisationName]) {
        self.sweep.set_organisations(organisations);
    }

    /// Returns the number of recorded keys.
    pub fn len(&self) -> usize {
        self.ledger.len()
    }

    /// Whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.ledger.is_empty()
    }

    fn time_out(&mut self, ticket: T, out: &mut Vec<OnceAction<T>>) {
        let waits_for_claim =
            self.waiting.get(&ticket).is_some_and(|waiting| waiting.claim.is_some());
        self.withdraw(ticket);
        out.push(if waits_for_claim {
            claim_unavailable(ticket)
        } else {
            let refusal = Refusal::may_have_run(RefusalCode::DeadlineUnreachable);
            OnceAction::Refuse { ticket, refusal }
        });
    }

    pub(super) fn wait(&mut self, ticket: T, waiting: Waiting) {
        self.deadlines.insert((waiting.timer_at, ticket));
        self.waiting.insert(ticket, waiting);
    }

    pub(super) fn stop_waiting(&mut self, ticket: T) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.deadlines.remove(&(waiting.timer_at, ticket));
        Some(waiting)
    }

    fn drop_expired(&mut self, now: TimeMs, out: &mut Vec<OnceAction<T>>) {
        let dropped = self.ledger.expire(now).0;
        out.extend(
            dropped.into_iter().map(|dropped| OnceAction::DropAnswer { ticket: dropped.of }),
        );
    }
}

pub(super) fn push_calls<T>(calls: Vec<(OnceCall, StoreRequest)>, out: &mut Vec<OnceAction<T>>) {
    out.extend(calls.into_iter().map(|(call, request)| OnceAction::Store { call, request }));
}

pub(super) const fn answer_lost<T>(ticket: T) -> OnceAction<T> {
    OnceAction::Refuse { ticket, refusal: Refusal::may_have_run(RefusalCode::AnswerLost) }
}

/// Refuses a request whose key has no known owner: an earlier attempt may have run on another node.
pub(super) const fn claim_unavailable<T>(ticket: T) -> OnceAction<T> {
    let refusal = Refusal::may_have_run(RefusalCode::ClaimUnavailable)
        .with_retry_after_ms(CLAIM_RETRY_AFTER_MS);
    OnceAction::Refuse { ticket, refusal }
}
