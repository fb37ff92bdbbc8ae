use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::store::{Object, ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use celeryhaven_types::{Incarnation, TimeMs};

use crate::claims::rate_limit::RateLimit;
use crate::claims::{Claim, ClaimOutcome, ClaimStart, ResolvedClaim};
use crate::guard::OnceCall;

/// Delay after the first failed call, in milliseconds; doubles with each further failure.
const INITIAL_RETRY_DELAY_MS: u64 = 50;
/// Maximum number of times that the delay doubles.
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
struct ClaimEntry<T> {
    claim_id: u64,
    status: Status,
    failures: u32,
    waiting: Vec<T>,
    until: TimeMs,
}

/// Claims that this process owns, is creating or has read.
#[derive(Clone, Debug)]
pub(crate) struct Claims<T> {
    incarnation: Incarnation,
    rate_limit: RateLimit,
    entries_max: usize,
    claim_life_ms: u64,
    last_id: u64,
    last_call: u64,
    entries: BTreeMap<ObjectKey, ClaimEntry<T>>,
    calls: BTreeMap<OnceCall, ObjectKey>,
    retries: BTreeSet<(TimeMs, ObjectKey)>,
    expiries: BTreeSet<(TimeMs, ObjectKey)>,
}

impl<T: Copy + Ord> Claims<T> {
    pub(crate) const fn new(
        incarnation: Incarnation,
        claims_per_s: u32,
        entries_max: usize,
        claim_life_ms: u64,
    ) -> Self {
        Self {
            incarnation,
            rate_limit: RateLimit::new(claims_per_s),
            entries_max,
            claim_life_ms,
            last_id: 0,
            last_call: 0,
            entries: BTreeMap::new(),
            calls: BTreeMap::new(),
            retries: BTreeSet::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Starts to determine the owner of a key.
    ///
    /// `delegated` is set if another node regards this process as the owner. A delegated key without
    /// an entry here has expired, so it may have run.
    pub(crate) fn start(
        &mut self,
        now: TimeMs,
        key: &ObjectKey,
        ticket: T,
        delegated: bool,
        calls: &mut Vec<(OnceCall, StoreRequest)>,
    ) -> ClaimStart {
        if let Some(entry) = self.entries.get_mut(key) {
            match &entry.status {
                Status::Owned { .. } => return ClaimStart::Resolved(ClaimOutcome::Owned),
                Status::Foreign(_) if delegated => {
                    return ClaimStart::Resolved(ClaimOutcome::Spent);
                }
                Status::Foreign(owner) => {
                    return ClaimStart::Resolved(ClaimOutcome::Foreign(owner.clone()));
                }
                Status::Spent => return ClaimStart::Resolved(ClaimOutcome::Spent),
                Status::Creating | Status::Reading | Status::Paused { .. } => {
                    entry.waiting.push(ticket);
                    return ClaimStart::Pending;
                }
                Status::Abandoned => entry.waiting.push(ticket),
            }
        } else if delegated {
            return ClaimStart::Resolved(ClaimOutcome::Spent);
        } else if self.entries.len() >= self.entries_max || !self.rate_limit.take(now) {
            return ClaimStart::LimitReached;
        } else {
            self.last_id += 1;
            let entry = ClaimEntry {
                claim_id: self.last_id,
                status: Status::Abandoned,
                failures: 0,
                waiting: vec![ticket],
                until: TimeMs::new(0),
            };
            self.entries.insert(key.clone(), entry);
            self.renew(now, key);
        }
        self.call(key, false, calls);
        ClaimStart::Pending
    }

    /// Removes a waiting request; a claim without waiting requests is not retried.
    ///
    /// The claim id is kept: a create that is still in flight may make this process the owner, and a
    /// later retry recognises the claim by its id.
    pub(crate) fn withdraw(&mut self, key: &ObjectKey, ticket: T) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.waiting.retain(|waiter| *waiter != ticket);
        if entry.waiting.is_empty()
            && let Status::Paused { until, .. } = entry.status
        {
            self.retries.remove(&(until, key.clone()));
            entry.status = Status::Abandoned;
        }
    }

    /// Applies the reply to a call; returns the claim that it resolves.
    pub(crate) fn reply(
        &mut self,
        now: TimeMs,
        call: OnceCall,
        reply: &StoreReply,
        calls: &mut Vec<(OnceCall, StoreRequest)>,
    ) -> Option<ResolvedClaim<T>> {
        let key = self.calls.remove(&call)?;
        let entry = self.entries.get_mut(&key)?;
        let is_create = matches!(entry.status, Status::Creating);
        match (is_create, reply) {
            (true, StoreReply::Written { version }) => {
                let owned = Status::Owned { version: Some(*version) };
                self.resolve(&key, owned, ClaimOutcome::Owned)
            }
            (true, StoreReply::Conflict) => {
                self.call(&key, true, calls);
                None
            }
            (false, StoreReply::Found(object)) => self.apply_read(&key, object),
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

    /// Repeats the calls whose retry delay has elapsed.
    pub(crate) fn retry(&mut self, now: TimeMs, calls: &mut Vec<(OnceCall, StoreRequest)>) {
        while self.retries.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, key)) = self.retries.pop_first() else { return };
            let status = self.entries.get(&key).map(|entry| entry.status.clone());
            if let Some(Status::Paused { then_read, until }) = status
                && until <= now
            {
                self.call(&key, then_read, calls);
            }
        }
    }

    /// Removes expired claims and deletes the claim objects that this process owns.
    ///
    /// A claim that is waited for, or whose key is still in the ledger, is renewed instead: a request
    /// with it may be running.
    pub(crate) fn expire(
        &mut self,
        now: TimeMs,
        in_use: impl Fn(&ObjectKey) -> bool,
        calls: &mut Vec<(OnceCall, StoreRequest)>,
    ) {
        while self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, key)) = self.expiries.pop_first() else { return };
            let Some(entry) = self.entries.get(&key) else { continue };
            if !entry.waiting.is_empty() || in_use(&key) {
                self.renew(now, &key);
                continue;
            }
            if let Status::Owned { version: Some(version) } = entry.status {
                let call = self.next_call();
                calls.push((call, StoreRequest::Delete { key: key.clone(), version }));
            }
            self.entries.remove(&key);
        }
    }

    /// Returns the expiry time of a claim.
    pub(crate) fn until(&self, key: &ObjectKey) -> Option<TimeMs> {
        self.entries.get(key).map(|entry| entry.until)
    }

    /// Returns a new call number.
    pub(crate) fn next_call(&mut self) -> OnceCall {
        self.last_call += 1;
        OnceCall::new(self.last_call)
    }

    /// Returns the time of the next retry or expiry.
    pub(crate) fn next_wake(&self) -> Option<TimeMs> {
        let firsts = [self.retries.first(), self.expiries.first()];
        firsts.into_iter().flatten().map(|(at, _)| *at).min()
    }

    fn apply_read(&mut self, key: &ObjectKey, object: &Object) -> Option<ResolvedClaim<T>> {
        let claim: Option<Claim> = serde_json::from_str(&object.value).ok();
        let claim_id = self.entries.get(key)?.claim_id;
        match claim {
            Some(claim) if claim.owner != self.incarnation => {
                let status = Status::Foreign(claim.owner.clone());
                self.resolve(key, status, ClaimOutcome::Foreign(claim.owner))
            }
            Some(claim) if claim.claim_id == claim_id => {
                let owned = Status::Owned { version: Some(object.version) };
                self.resolve(key, owned, ClaimOutcome::Owned)
            }
            _ => self.resolve(key, Status::Spent, ClaimOutcome::Spent),
        }
    }

    fn resolve(
        &mut self,
        key: &ObjectKey,
        status: Status,
        outcome: ClaimOutcome,
    ) -> Option<ResolvedClaim<T>> {
        let entry = self.entries.get_mut(key)?;
        entry.status = status;
        entry.failures = 0;
        let waiting = std::mem::take(&mut entry.waiting);
        Some(ResolvedClaim { key: key.clone(), waiting, outcome })
    }

    fn pause(&mut self, now: TimeMs, key: &ObjectKey, then_read: bool) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.waiting.is_empty() {
            entry.status = Status::Abandoned;
            return;
        }
        let until = now.after(INITIAL_RETRY_DELAY_MS << entry.failures.min(RETRY_DOUBLINGS_MAX));
        entry.failures = entry.failures.saturating_add(1);
        entry.status = Status::Paused { then_read, until };
        self.retries.insert((until, key.clone()));
    }

    fn call(&mut self, key: &ObjectKey, read: bool, calls: &mut Vec<(OnceCall, StoreRequest)>) {
        let call = self.next_call();
        let owner = self.incarnation.clone();
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.status = if read { Status::Reading } else { Status::Creating };
        let claim = Claim { owner, claim_id: entry.claim_id };
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
        let Some(entry) = self.entries.get_mut(key) else { return };
        self.expiries.remove(&(entry.until, key.clone()));
        entry.until = until;
        self.expiries.insert((until, key.clone()));
    }
}
