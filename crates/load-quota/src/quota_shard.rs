use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_records::{RecordWrite, WriteOutcome};
use celeryhaven_types::store::ObjectVersion;
use celeryhaven_types::{DomainName, TimeMs};

use crate::own_grant::OwnGrant;
use crate::quota_call::ShardCall;
use crate::{GrantId, GrantedLoads, LoadGrant, LoadLimit, LoadNeeds, QuotaRecord};

/// Bounds of the time from the start of the write that makes a grant until its orders must have
/// been sent, in milliseconds. It follows the time that writes take.
const USE_MS_MIN: u64 = 150;
const USE_MS_MAX: u64 = 1_000;

/// Time from sending an order until a load that it was answered for has begun, in milliseconds.
const ORDER_MS: u64 = 500;

/// Time that the first request of a caller takes to reach the record, in milliseconds.
const FIRST_REQUEST_MS: u64 = 150;

/// Time in which an order that was not answered may still be carried out, in milliseconds.
const UNRESOLVED_MS: u64 = 15_000;

/// Optional loads are granted up to one in this many of the loads that the limit allows.
const OPTIONAL_PART: u32 = 2;

/// Pause after a call that failed, in milliseconds.
const FAILED_PAUSE_MS: u64 = 500;

/// Longest pause after the first conflict with another node, in milliseconds. It doubles with each
/// further one.
const CONFLICT_PAUSE_MS: u64 = 15;

/// Doublings of that pause at the most.
const CONFLICT_DOUBLINGS_MAX: u32 = 5;

/// The record as this node knows it.
#[derive(Clone, Debug)]
struct Known {
    /// `None` if the store holds no record.
    version: Option<ObjectVersion>,
    record: QuotaRecord,
}

/// A call that is under way.
#[derive(Clone, Debug)]
struct UnderWay {
    started_at: TimeMs,
    /// Grants that the call makes.
    grants: Vec<LoadGrant>,
    /// Whether it makes them as callers are served.
    is_served: bool,
    /// Grants of this node that the call settles.
    settled: Vec<GrantId>,
    /// Domains whose earlier coordinators' loads the call marks as unresolved.
    taken_over: BTreeSet<DomainName>,
}

/// Since when this node knows a grant.
#[derive(Clone, Copy, Debug)]
struct Seen {
    grant_at: TimeMs,
    /// The highest number of unresolved loads, and since when it is known.
    unresolved: (u32, TimeMs),
}

/// Whether a caller has sent a request to any node, as this node knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallersState {
    Served,
    /// None had when a read began at this time.
    UnservedAt(TimeMs),
    Unknown,
}

/// The part of the quota that some of the domains share.
#[derive(Clone, Debug)]
pub(crate) struct QuotaShard {
    /// Start of the grants' ids, unique to this start of the process.
    id_prefix: String,
    window_ms: u64,
    known: Option<Known>,
    seen: BTreeMap<GrantId, Seen>,
    needed: BTreeMap<DomainName, LoadNeeds>,
    /// Grants of this node that the record does not hold as settled yet.
    own: BTreeMap<GrantId, OwnGrant>,
    /// Domains whose earlier coordinators' loads may be unresolved.
    taken_over: BTreeSet<DomainName>,
    /// Whether the record must be read before the next write.
    must_read: bool,
    /// Grants made before callers were served, and when they were known to be made. They may be
    /// used once a read that began later finds that no caller is served yet.
    unconfirmed: Vec<(GrantedLoads, TimeMs)>,
    /// Time in which the next grants must be used.
    use_ms: u64,
    under_way: Option<UnderWay>,
    retry_at: TimeMs,
    conflicts: u32,
    next_grant: u64,
}

impl QuotaShard {
    /// Creates the quota of a node for a window; `holder` is unique to this start of the process.
    pub(crate) fn new(holder: impl std::fmt::Display, window_ms: u64) -> Self {
        Self {
            id_prefix: format!("{holder}-"),
            window_ms,
            known: None,
            seen: BTreeMap::new(),
            needed: BTreeMap::new(),
            own: BTreeMap::new(),
            taken_over: BTreeSet::new(),
            must_read: false,
            unconfirmed: Vec::new(),
            use_ms: USE_MS_MIN,
            under_way: None,
            retry_at: TimeMs::new(0),
            conflicts: 0,
            next_grant: 0,
        }
    }

    /// Sets how many loads a domain needs now, besides those granted.
    pub(crate) fn set_needed(&mut self, domain: &DomainName, needs: LoadNeeds) {
        if needs == LoadNeeds::default() {
            self.needed.remove(domain);
        } else {
            self.needed.insert(domain.clone(), needs);
        }
    }

    /// Removes all needs.
    pub(crate) fn clear_needed(&mut self) {
        self.needed.clear();
    }

    /// Records that this node coordinates a domain from now on.
    ///
    /// A coordinator that is gone cannot say which of its orders were not answered.
    pub(crate) fn take_over(&mut self, domain: DomainName) {
        self.taken_over.insert(domain);
        self.must_read = true;
    }

    /// Records that this node no longer coordinates a domain.
    pub(crate) fn hand_over(&mut self, domain: &DomainName) {
        self.needed.remove(domain);
        self.taken_over.remove(domain);
    }

    /// Returns a grant of this node that is not settled.
    pub(crate) fn own_grant(&mut self, grant: &GrantId) -> Option<&mut OwnGrant> {
        self.own.get_mut(grant)
    }

    /// Returns when a call may be due that is not due now because another node's call was faster.
    pub(crate) fn retry_at(&self, now: TimeMs) -> Option<TimeMs> {
        (self.conflicts > 0 && self.retry_at > now).then_some(self.retry_at)
    }

    /// Returns the loads that domains need and that the record has no room for, if any.
    pub(crate) fn held_back(&self) -> u32 {
        let is_idle = self.under_way.is_none() && self.known.is_some();
        let needed = self.needed.values().map(|needs| needs.required + needs.optional);
        if is_idle { needed.sum() } else { 0 }
    }

    /// Returns the call that is due, if any, and counts it as under way.
    pub(crate) fn due(
        &mut self,
        now: TimeMs,
        limit: LoadLimit,
        callers: CallersState,
    ) -> Option<ShardCall> {
        if self.under_way.is_some() || now < self.retry_at {
            return None;
        }
        let known = self.known.as_ref().filter(|_| !self.must_read);
        let Some(known) = known.cloned() else {
            let call = ShardCall::Read;
            return self.has_news().then(|| self.begin(now, call, Vec::new(), Vec::new(), false));
        };
        let is_served = callers == CallersState::Served;
        if !is_served && (!self.unconfirmed.is_empty() || callers == CallersState::Unknown) {
            return None;
        }
        let (version, era) = (known.version, known.version.map_or(0, ObjectVersion::era));
        let lacks_grants = match version {
            Some(_) => known.record.era != era,
            None => is_served,
        };
        let mut record = self.without_expired(now, callers, &known.record);
        let settled = self.settle(now, &mut record);
        let mut has_changed = !settled.is_empty();
        has_changed |= is_served && self.mark_unresolved(&mut record);
        let is_lower = limit.loads_max < record.loads_max;
        has_changed |= version.is_some() && limit.config > record.config && is_lower;
        if limit.config >= record.config {
            record.config = limit.config;
            record.loads_max = limit.loads_max;
        }
        let grants = match lacks_grants {
            true => {
                self.fill(&mut record, era);
                Vec::new()
            }
            false => self.make_grants(&record),
        };
        if grants.is_empty() && !has_changed && !lacks_grants {
            self.taken_over.clear();
            return None;
        }
        self.set_ages(now, &mut record);
        record.grants.extend(grants.iter().cloned());
        let write = ShardCall::Write(RecordWrite::Put { key: (), version, record });
        Some(self.begin(now, write, grants, settled, is_served))
    }

    /// Applies the outcome of the call under way; returns the loads that may begin.
    pub(crate) fn complete(
        &mut self,
        now: TimeMs,
        callers: CallersState,
        call: &ShardCall,
        outcome: WriteOutcome<QuotaRecord>,
        jitter: f64,
    ) -> Vec<GrantedLoads> {
        let Some(under_way) = self.under_way.take() else { return Vec::new() };
        let is_written =
            matches!((&outcome, call), (WriteOutcome::Written(_), ShardCall::Write(_)));
        if !is_written {
            self.taken_over.extend(under_way.taken_over.iter().cloned());
        }
        self.must_read &= matches!(call, ShardCall::Write(_));
        match (outcome, call) {
            (WriteOutcome::Written(version), ShardCall::Write(RecordWrite::Put { record, .. })) => {
                self.conflicts = 0;
                self.know(now, Some(version), record.clone());
                self.own.retain(|id, _| !under_way.settled.contains(id));
                let granted = self.usable(now, &under_way);
                // The record of a store that was restored meanwhile lacks grants. One that was
                // written before callers were served may lack some that count since.
                let became_served = !under_way.is_served && callers == CallersState::Served;
                if version.era() != record.era || became_served {
                    return Vec::new();
                }
                if under_way.is_served {
                    return granted;
                }
                self.unconfirmed.extend(granted.into_iter().map(|granted| (granted, now)));
                Vec::new()
            }
            (WriteOutcome::Found(version, record), call) => {
                self.know(now, Some(version), record);
                if matches!(call, ShardCall::Write(_)) {
                    let longest = CONFLICT_PAUSE_MS << self.conflicts.min(CONFLICT_DOUBLINGS_MAX);
                    self.conflicts += 1;
                    self.retry_at = now.after((longest as f64 * jitter) as u64);
                }
                Vec::new()
            }
            (WriteOutcome::Missing, _) => {
                self.know(now, None, QuotaRecord::default());
                Vec::new()
            }
            (WriteOutcome::Failed | WriteOutcome::Written(_), _) => {
                self.known = None;
                self.retry_at = now.after(FAILED_PAUSE_MS);
                Vec::new()
            }
        }
    }

    /// Returns the grants that may be used as no caller was served when a read began.
    pub(crate) fn confirm_unserved(&mut self, now: TimeMs, began_at: TimeMs) -> Vec<GrantedLoads> {
        let is_confirmed = |made_at: &TimeMs| *made_at <= began_at;
        let (confirmed, later): (Vec<_>, Vec<_>) =
            self.unconfirmed.drain(..).partition(|(_, made_at)| is_confirmed(made_at));
        self.unconfirmed = later;
        let confirmed = confirmed.into_iter().map(|(granted, _)| granted);
        let (usable, late): (Vec<_>, Vec<_>) = confirmed.partition(|granted| now < granted.send_by);
        if !late.is_empty() {
            self.use_ms = (self.use_ms * 2).min(USE_MS_MAX);
        }
        usable
    }

    /// Drops the grants that were made as if no caller was served; they count all the same.
    pub(crate) fn drop_unconfirmed(&mut self) {
        self.unconfirmed.clear();
    }

    /// Whether grants wait for a read of whether callers are served.
    pub(crate) const fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Returns the loads that count against the limit at this time, as far as this node knows.
    pub(crate) fn counted(&self, now: TimeMs, callers: CallersState) -> u32 {
        let Some(known) = &self.known else { return 0 };
        self.without_expired(now, callers, &known.record)
            .grants
            .iter()
            .map(|grant| grant.loads)
            .fold(0, u32::saturating_add)
    }

    fn has_news(&self) -> bool {
        !self.needed.is_empty() || !self.own.is_empty() || !self.taken_over.is_empty()
    }

    fn begin(
        &mut self,
        now: TimeMs,
        call: ShardCall,
        grants: Vec<LoadGrant>,
        settled: Vec<GrantId>,
        is_served: bool,
    ) -> ShardCall {
        let taken_over = match call {
            ShardCall::Read => BTreeSet::new(),
            ShardCall::Write(_) => std::mem::take(&mut self.taken_over),
        };
        self.under_way = Some(UnderWay { started_at: now, grants, is_served, settled, taken_over });
        call
    }

    /// Returns the loads of a write that were granted in time to be used.
    fn usable(&mut self, now: TimeMs, under_way: &UnderWay) -> Vec<GrantedLoads> {
        let took_ms = now.since(under_way.started_at);
        let (use_ms, is_late) = (self.use_ms, took_ms >= self.use_ms);
        self.use_ms = match (is_late, took_ms * 4 < use_ms) {
            (true, _) => (use_ms * 2).min(USE_MS_MAX),
            (false, true) => (use_ms / 2).max(USE_MS_MIN),
            (false, false) => use_ms,
        };
        let send_by = under_way.started_at.after(use_ms);
        let ids = under_way.grants.iter().map(|grant| grant.id.clone());
        self.own.extend(ids.map(|id| (id, OwnGrant::new(send_by))));
        if is_late {
            return Vec::new();
        }
        let granted = under_way.grants.iter().map(|grant| GrantedLoads {
            grant: grant.id.clone(),
            domain: grant.domain.clone(),
            loads: grant.loads,
            send_by,
        });
        let granted: Vec<_> = granted.collect();
        self.needed.retain(|domain, _| granted.iter().all(|granted| granted.domain != *domain));
        granted
    }

    fn know(&mut self, now: TimeMs, version: Option<ObjectVersion>, record: QuotaRecord) {
        self.seen.retain(|id, _| record.grants.iter().any(|grant| grant.id == *id));
        for grant in &record.grants {
            let (grant_at, unresolved_at) =
                (now.before(grant.age_ms), now.before(grant.unresolved_age_ms));
            let first = Seen { grant_at, unresolved: (grant.unresolved, unresolved_at) };
            let seen = self.seen.entry(grant.id.clone()).or_insert(first);
            seen.grant_at = seen.grant_at.min(grant_at);
            match grant.unresolved.cmp(&seen.unresolved.0) {
                Ordering::Less => {}
                Ordering::Equal => seen.unresolved.1 = seen.unresolved.1.min(unresolved_at),
                Ordering::Greater => seen.unresolved = (grant.unresolved, unresolved_at),
            }
        }
        self.known = Some(Known { version, record });
    }

    /// Returns the record without the loads that have begun before the window.
    fn without_expired(
        &self,
        now: TimeMs,
        callers: CallersState,
        record: &QuotaRecord,
    ) -> QuotaRecord {
        let (span_ms, at) = match callers {
            CallersState::Served | CallersState::Unknown => (self.window_ms, now),
            CallersState::UnservedAt(at) => (FIRST_REQUEST_MS, at),
        };
        let unresolved_max_ms = UNRESOLVED_MS + self.window_ms;
        let counts = |grant: &LoadGrant| {
            let seen = self.seen.get(&grant.id)?;
            let is_unresolved =
                grant.unresolved > 0 && now.since(seen.unresolved.1) < unresolved_max_ms;
            let used_ms = grant.use_ms.min(USE_MS_MAX) + ORDER_MS;
            let is_recent = at.since(seen.grant_at) < span_ms + used_ms;
            match (is_recent, is_unresolved) {
                (true, _) => Some(grant.clone()),
                (false, true) => Some(LoadGrant { loads: grant.unresolved, ..grant.clone() }),
                (false, false) => None,
            }
        };
        let grants = record.grants.iter().filter_map(counts).collect();
        QuotaRecord { grants, ..record.clone() }
    }

    /// Sets how many loads of this node's grants have begun or may begin; returns these grants.
    fn settle(&mut self, now: TimeMs, record: &mut QuotaRecord) -> Vec<GrantId> {
        let (own, prefix) = (&self.own, self.id_prefix.as_str());
        let mut settled = Vec::new();
        for grant in &mut record.grants {
            let is_own = grant.id.as_str().starts_with(prefix) && !grant.settled;
            match own.get(&grant.id) {
                Some(own) if own.is_settled(now) => {
                    grant.unresolved = own.unanswered;
                    grant.loads = own.begun + own.unanswered;
                }
                // A grant whose write had no answer was never used.
                None if is_own && self.under_way.is_none() => grant.loads = 0,
                _ => continue,
            }
            grant.settled = true;
            settled.push(grant.id.clone());
        }
        record.grants.retain(|grant| grant.loads > 0);
        self.own.retain(|id, own| {
            !own.is_settled(now)
                || record.grants.iter().any(|grant| grant.id == *id)
                || settled.contains(id)
        });
        settled
    }

    /// Marks the loads of lost coordinators that may begin late; returns whether there are any.
    fn mark_unresolved(&mut self, record: &mut QuotaRecord) -> bool {
        let mut has_changed = false;
        for grant in record.grants.iter_mut().filter(|grant| !grant.settled) {
            let is_own = grant.id.as_str().starts_with(&self.id_prefix);
            if is_own || !self.taken_over.contains(&grant.domain) {
                continue;
            }
            has_changed |= grant.unresolved < grant.loads;
            grant.unresolved = grant.loads;
        }
        has_changed
    }

    fn set_ages(&self, now: TimeMs, record: &mut QuotaRecord) {
        for grant in &mut record.grants {
            let Some(seen) = self.seen.get(&grant.id) else { continue };
            grant.age_ms = now.since(seen.grant_at);
            grant.unresolved_age_ms = match grant.unresolved > seen.unresolved.0 {
                true => 0,
                false => now.since(seen.unresolved.1),
            };
        }
    }

    /// Fills a record that may lack grants, as its store has come back from a copy, or other records
    /// were used before.
    fn fill(&self, record: &mut QuotaRecord, era: u64) {
        record.era = era;
        let id = GrantId::new(format!("{}fill-{era}-{}", self.id_prefix, self.next_grant));
        let fill = LoadGrant::new(id, DomainName::new(""), record.loads_max, USE_MS_MAX);
        record.grants = vec![LoadGrant { settled: true, ..fill }];
    }

    /// Returns grants for the needs that the record has room for.
    fn make_grants(&mut self, record: &QuotaRecord) -> Vec<LoadGrant> {
        let loads = record.grants.iter().map(|grant| grant.loads);
        let counted = loads.fold(0, u32::saturating_add);
        let mut room = record.loads_max.saturating_sub(counted);
        let optional_part = (record.loads_max / OPTIONAL_PART).max(1);
        let mut grants = Vec::new();
        for (domain, needs) in &self.needed {
            let required = needs.required.min(room);
            room -= required;
            let kept_free = record.loads_max - optional_part;
            let optional = needs.optional.min(room.saturating_sub(kept_free));
            room -= optional;
            let loads = required + optional;
            if loads == 0 {
                continue;
            }
            let id = GrantId::new(format!("{}{}", self.id_prefix, self.next_grant));
            self.next_grant += 1;
            grants.push(LoadGrant::new(id, domain.clone(), loads, self.use_ms));
        }
        grants
    }
}
