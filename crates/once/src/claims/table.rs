use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::store::{Object, ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use celeryhaven_types::{Incarnation, TimeMs};

use crate::claims::bucket::Bucket;
use crate::claims::{Claim, ClaimOutcome, Settled, Started};
use crate::guard::OnceCall;

/// First pause after a failed call; doubles with each further one.
const RETRY_MS: u64 = 50;
/// How often the pause doubles at most.
const RETRY_DOUBLINGS_MAX: u32 = 4;

#[derive(Clone, Debug)]
enum Status {
    Creating,
    Reading,
    Paused { then_read: bool, until: TimeMs },
    Abandoned,
    Owned { version: Option<ObjectVersion> },
    Foreign(Incarnation),
    Spent,
}

#[derive(Clone, Debug)]
struct Held<T> {
    claim_id: u64,
    status: Status,
    failures: u32,
    waiting: Vec<T>,
    until: TimeMs,
}

/// Every claim that this process holds, seeks or has seen.
#[derive(Clone, Debug)]
pub(crate) struct Claims<T> {
    incarnation: Incarnation,
    bucket: Bucket,
    held_max: usize,
    claim_life_ms: u64,
    last_id: u64,
    last_call: u64,
    held: BTreeMap<ObjectKey, Held<T>>,
    calls: BTreeMap<OnceCall, ObjectKey>,
    retries: BTreeSet<(TimeMs, ObjectKey)>,
    expiries: BTreeSet<(TimeMs, ObjectKey)>,
}

impl<T: Copy + Ord> Claims<T> {
    pub(crate) const fn new(
        incarnation: Incarnation,
        claims_per_s: u32,
        held_max: usize,
        claim_life_ms: u64,
    ) -> Self {
        Self {
            incarnation,
            bucket: Bucket::new(claims_per_s),
            held_max,
            claim_life_ms,
            last_id: 0,
            last_call: 0,
            held: BTreeMap::new(),
            calls: BTreeMap::new(),
            retries: BTreeSet::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Finds out who may run a key; `passed_on` says that another node takes this one for the owner.
    ///
    /// A passed-on key without a claim here is one that this process has forgotten: it may have run.
    pub(crate) fn start(
        &mut self,
        now: TimeMs,
        key: &ObjectKey,
        ticket: T,
        passed_on: bool,
        calls: &mut Vec<(OnceCall, StoreRequest)>,
    ) -> Started {
        if let Some(held) = self.held.get_mut(key) {
            match &held.status {
                Status::Owned { .. } => return Started::Known(ClaimOutcome::Owned),
                Status::Foreign(_) if passed_on => return Started::Known(ClaimOutcome::Spent),
                Status::Foreign(owner) => {
                    return Started::Known(ClaimOutcome::Foreign(owner.clone()));
                }
                Status::Spent => return Started::Known(ClaimOutcome::Spent),
                Status::Creating | Status::Reading | Status::Paused { .. } => {
                    held.waiting.push(ticket);
                    return Started::Pending;
                }
                Status::Abandoned => held.waiting.push(ticket),
            }
        } else if passed_on {
            return Started::Known(ClaimOutcome::Spent);
        } else if self.held.len() >= self.held_max || !self.bucket.take(now) {
            return Started::TooMany;
        } else {
            self.last_id += 1;
            let held = Held {
                claim_id: self.last_id,
                status: Status::Abandoned,
                failures: 0,
                waiting: vec![ticket],
                until: TimeMs::new(0),
            };
            self.held.insert(key.clone(), held);
            self.renew(now, key);
        }
        self.call(key, false, calls);
        Started::Pending
    }

    /// A request no longer waits; a claim that nobody waits for is not pursued.
    ///
    /// Its identity is kept: a create that is still on its way makes this process the owner, and a
    /// retry that comes here finds that out by the same identity.
    pub(crate) fn withdraw(&mut self, key: &ObjectKey, ticket: T) {
        let Some(held) = self.held.get_mut(key) else { return };
        held.waiting.retain(|waiter| *waiter != ticket);
        if held.waiting.is_empty()
            && let Status::Paused { until, .. } = held.status
        {
            self.retries.remove(&(until, key.clone()));
            held.status = Status::Abandoned;
        }
    }

    /// Takes the reply to a call.
    pub(crate) fn reply(
        &mut self,
        now: TimeMs,
        call: OnceCall,
        reply: &StoreReply,
        calls: &mut Vec<(OnceCall, StoreRequest)>,
    ) -> Option<Settled<T>> {
        let key = self.calls.remove(&call)?;
        let held = self.held.get_mut(&key)?;
        let is_create = matches!(held.status, Status::Creating);
        match (is_create, reply) {
            (true, StoreReply::Written { version }) => {
                let owned = Status::Owned { version: Some(*version) };
                self.settle(&key, owned, ClaimOutcome::Owned)
            }
            (true, StoreReply::Conflict) => {
                self.call(&key, true, calls);
                None
            }
            (false, StoreReply::Found(object)) => self.found(&key, object),
            (false, StoreReply::Missing) => {
                self.pause(now, &key, false);
                None
            }
            (_, StoreReply::Rejected) => {
                self.pause(now, &key, !is_create);
                None
            }
            _ => {
                self.pause(now, &key, true);
                None
            }
        }
    }

    /// Makes the calls whose pause is over.
    pub(crate) fn retry(&mut self, now: TimeMs, calls: &mut Vec<(OnceCall, StoreRequest)>) {
        while self.retries.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, key)) = self.retries.pop_first() else { return };
            let status = self.held.get(&key).map(|held| held.status.clone());
            if let Some(Status::Paused { then_read, until }) = status
                && until <= now
            {
                self.call(&key, then_read, calls);
            }
        }
    }

    /// Forgets claims that nobody used for their lifetime and deletes the objects it owns.
    ///
    /// A claim whose key is still in the ledger stays: a request may run on it.
    pub(crate) fn expire(
        &mut self,
        now: TimeMs,
        in_use: impl Fn(&ObjectKey) -> bool,
        calls: &mut Vec<(OnceCall, StoreRequest)>,
    ) {
        while self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, key)) = self.expiries.pop_first() else { return };
            let Some(held) = self.held.get(&key) else { continue };
            if !held.waiting.is_empty() || in_use(&key) {
                self.renew(now, &key);
                continue;
            }
            if let Status::Owned { version: Some(version) } = held.status {
                let call = self.next_call();
                calls.push((call, StoreRequest::Delete { key: key.clone(), version }));
            }
            self.held.remove(&key);
        }
    }

    /// Until when a claim is remembered: its lifetime counts from its first use.
    pub(crate) fn until(&self, key: &ObjectKey) -> Option<TimeMs> {
        self.held.get(key).map(|held| held.until)
    }

    /// Numbers a call.
    pub(crate) fn next_call(&mut self) -> OnceCall {
        self.last_call += 1;
        OnceCall::new(self.last_call)
    }

    /// When something is due.
    pub(crate) fn next_wake(&self) -> Option<TimeMs> {
        let firsts = [self.retries.first(), self.expiries.first()];
        firsts.into_iter().flatten().map(|(at, _)| *at).min()
    }

    fn found(&mut self, key: &ObjectKey, object: &Object) -> Option<Settled<T>> {
        let claim: Option<Claim> = serde_json::from_str(&object.value).ok();
        let claim_id = self.held.get(key)?.claim_id;
        match claim {
            Some(claim) if claim.owner != self.incarnation => {
                let status = Status::Foreign(claim.owner.clone());
                self.settle(key, status, ClaimOutcome::Foreign(claim.owner))
            }
            Some(claim) if claim.claim_id == claim_id => {
                let owned = Status::Owned { version: Some(object.version) };
                self.settle(key, owned, ClaimOutcome::Owned)
            }
            _ => self.settle(key, Status::Spent, ClaimOutcome::Spent),
        }
    }

    fn settle(
        &mut self,
        key: &ObjectKey,
        status: Status,
        outcome: ClaimOutcome,
    ) -> Option<Settled<T>> {
        let held = self.held.get_mut(key)?;
        held.status = status;
        held.failures = 0;
        let waiting = std::mem::take(&mut held.waiting);
        Some(Settled { key: key.clone(), waiting, outcome })
    }

    fn pause(&mut self, now: TimeMs, key: &ObjectKey, then_read: bool) {
        let Some(held) = self.held.get_mut(key) else { return };
        if held.waiting.is_empty() {
            held.status = Status::Abandoned;
            return;
        }
        let until = now.after(RETRY_MS << held.failures.min(RETRY_DOUBLINGS_MAX));
        held.failures = held.failures.saturating_add(1);
        held.status = Status::Paused { then_read, until };
        self.retries.insert((until, key.clone()));
    }

    fn call(&mut self, key: &ObjectKey, read: bool, calls: &mut Vec<(OnceCall, StoreRequest)>) {
        let call = self.next_call();
        let owner = self.incarnation.clone();
        let Some(held) = self.held.get_mut(key) else { return };
        held.status = if read { Status::Reading } else { Status::Creating };
        let claim = Claim { owner, claim_id: held.claim_id };
        let key = key.clone();
        self.calls.insert(call, key.clone());
        let request = if read {
            StoreRequest::Get { key }
        } else {
            let value = serde_json::to_string(&claim).unwrap_or_default();
            StoreRequest::Create { key, value: value.into() }
        };
        calls.push((call, request));
    }

    fn renew(&mut self, now: TimeMs, key: &ObjectKey) {
        let until = now.after(self.claim_life_ms);
        let Some(held) = self.held.get_mut(key) else { return };
        self.expiries.remove(&(held.until, key.clone()));
        held.until = until;
        self.expiries.insert((until, key.clone()));
    }
}
