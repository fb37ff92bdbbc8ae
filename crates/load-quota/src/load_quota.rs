use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_records::{RecordWrite, WriteOutcome};
use celeryhaven_types::store::ObjectVersion;
use celeryhaven_types::{DomainName, TimeMs};

use crate::{GrantId, GrantedLoads, LoadGrant, LoadLimit, LoadNeeds, QuotaCall, QuotaRecord};

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
    /// Unresolved loads that the call writes.
    unresolved: BTreeMap<GrantId, u32>,
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

/// Requests grants of loads from the record that all nodes share.
///
/// The caller sets how many loads each domain needs, carries out the calls that are
/// [due](Self::due), and passes their outcome to [`complete`](Self::complete), which returns the
/// loads that may begin.
///
/// ```
/// use celeryhaven_load_quota::{LoadLimit, LoadNeeds, LoadQuota, QuotaCall};
/// use celeryhaven_records::WriteOutcome;
/// use celeryhaven_types::store::ObjectVersion;
/// use celeryhaven_types::{ConfigNumber, DomainName, TimeMs};
///
/// let now = TimeMs::new(0);
/// let limit = LoadLimit::new(ConfigNumber::new(1), 1.0, 5_000);
/// let mut quota = LoadQuota::new("entry-1-1", 5_000);
/// let needs = LoadNeeds { required: 8, optional: 0 };
/// quota.set_needed(&DomainName::new("rack-1"), needs);
/// assert_eq!(quota.due(now, limit), Some(QuotaCall::Read));
/// assert!(quota.complete(now, &QuotaCall::Read, WriteOutcome::Missing, 0.5).is_empty());
/// let write = quota.due(now, limit).unwrap();
/// let granted = quota.complete(now, &write, WriteOutcome::Written(ObjectVersion::new(3)), 0.5);
/// assert_eq!(granted[0].loads, 5);
/// ```
#[derive(Clone, Debug)]
pub struct LoadQuota {
    /// Start of the grants' ids, unique to this start of the process.
    id_prefix: String,
    window_ms: u64,
    known: Option<Known>,
    seen: BTreeMap<GrantId, Seen>,
    needed: BTreeMap<DomainName, LoadNeeds>,
    /// Loads without an answer that the record does not hold as unresolved yet, by grant.
    unresolved: BTreeMap<GrantId, u32>,
    /// Domains whose earlier coordinators' loads may be unresolved.
    taken_over: BTreeSet<DomainName>,
    /// Whether the record must be read before the next write.
    must_read: bool,
    /// Whether a caller has sent a request to this node.
    callers_seen: bool,
    /// Time in which the next grants must be used.
    use_ms: u64,
    under_way: Option<UnderWay>,
    retry_at: TimeMs,
    conflicts: u32,
    next_grant: u64,
}

impl LoadQuota {
    /// Creates the quota of a node for a window; `holder` is unique to this start of the process.
    pub fn new(holder: impl std::fmt::Display, window_ms: u64) -> Self {
        Self {
            id_prefix: format!("{holder}-"),
            window_ms,
            known: None,
            seen: BTreeMap::new(),
            needed: BTreeMap::new(),
            unresolved: BTreeMap::new(),
            taken_over: BTreeSet::new(),
            must_read: false,
            callers_seen: false,
            use_ms: USE_MS_MIN,
            under_way: None,
            retry_at: TimeMs::new(0),
            conflicts: 0,
            next_grant: 0,
        }
    }

    /// Sets how many loads a domain needs now, besides those granted.
    pub fn set_needed(&mut self, domain: &DomainName, needs: LoadNeeds) {
        if needs == LoadNeeds::default() {
            self.needed.remove(domain);
        } else {
            self.needed.insert(domain.clone(), needs);
        }
    }

    /// Records that this node coordinates a domain from now on.
    ///
    /// A coordinator that is gone cannot say which of its orders were not answered.
    pub fn take_over(&mut self, domain: DomainName) {
        self.taken_over.insert(domain);
        self.must_read = true;
    }

    /// Records that this node no longer coordinates a domain.
    pub fn hand_over(&mut self, domain: &DomainName) {
        self.needed.remove(domain);
        self.taken_over.remove(domain);
    }

    /// Records that a caller has sent a request to this node.
    pub const fn record_caller(&mut self) {
        self.callers_seen = true;
    }

    /// Whether a caller has sent a request to any node, as far as this one knows.
    pub fn callers_served(&self) -> bool {
        self.callers_seen || self.known.as_ref().is_some_and(|known| known.record.callers_served)
    }

    /// Records that the order of one load of a grant was not answered.
    pub fn record_unresolved(&mut self, grant: &GrantId) {
        *self.unresolved.entry(grant.clone()).or_default() += 1;
    }

    /// Returns when a call may be due that is not due now because another node's call was faster.
    pub fn retry_at(&self, now: TimeMs) -> Option<TimeMs> {
        (self.conflicts > 0 && self.retry_at > now).then_some(self.retry_at)
    }

    /// Returns the loads that domains need and that the record has no room for, if any.
    pub fn held_back(&self) -> u32 {
        let is_idle = self.under_way.is_none() && self.known.is_some();
        let needed = self.needed.values().map(|needs| needs.required + needs.optional);
        if is_idle { needed.sum() } else { 0 }
    }

    /// Returns the call that is due, if any, and counts it as under way.
    pub fn due(&mut self, now: TimeMs, limit: LoadLimit) -> Option<QuotaCall> {
        if self.under_way.is_some() || now < self.retry_at {
            return None;
        }
        let known = self.known.as_ref().filter(|_| !self.must_read);
        let Some(known) = known.cloned() else {
            return self.has_news().then(|| self.begin(now, QuotaCall::Read, Vec::new()));
        };
        let is_restored = known.version.map_or(0, ObjectVersion::era) != known.record.era;
        let mut record = self.without_expired(now, &known.record);
        let version = known.version;
        let mut has_changed = self.mark_unresolved(&mut record);
        has_changed |= self.callers_served() && !record.callers_served;
        record.callers_served |= self.callers_served();
        if limit.config >= record.config {
            record.config = limit.config;
            record.loads_max = limit.loads_max;
        }
        let grants = match is_restored {
            true => {
                self.restore(&mut record, version);
                Vec::new()
            }
            false => self.make_grants(&record),
        };
        if grants.is_empty() && !has_changed && !is_restored {
            self.taken_over.clear();
            return None;
        }
        record.grants.extend(grants.iter().cloned());
        let write = RecordWrite::Put { key: (), version, record };
        Some(self.begin(now, QuotaCall::Write(write), grants))
    }

    /// Applies the outcome of the call under way; returns the loads that may begin.
    ///
    /// `jitter`, from 0 to 1, spreads the calls of nodes that conflict.
    pub fn complete(
        &mut self,
        now: TimeMs,
        call: &QuotaCall,
        outcome: WriteOutcome<QuotaRecord>,
        jitter: f64,
    ) -> Vec<GrantedLoads> {
        let Some(under_way) = self.under_way.take() else { return Vec::new() };
        let is_written =
            matches!((&outcome, call), (WriteOutcome::Written(_), QuotaCall::Write(_)));
        if !is_written {
            self.taken_over.extend(under_way.taken_over.iter().cloned());
        }
        self.must_read &= matches!(call, QuotaCall::Write(_));
        match (outcome, call) {
            (WriteOutcome::Written(version), QuotaCall::Write(RecordWrite::Put { record, .. })) => {
                self.conflicts = 0;
                self.know(now, Some(version), record.clone());
                for (grant, loads) in &under_way.unresolved {
                    if let Some(left) = self.unresolved.get_mut(grant) {
                        *left = left.saturating_sub(*loads);
                    }
                }
                self.unresolved.retain(|_, loads| *loads > 0);
                // Of a store that was restored meanwhile, the record lacks grants.
                if version.era() != record.era {
                    return Vec::new();
                }
                self.usable(now, &under_way)
            }
            (WriteOutcome::Found(version, record), call) => {
                self.know(now, Some(version), record);
                if matches!(call, QuotaCall::Write(_)) {
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

    /// Returns the loads that count against the limit at this time, as far as this node knows.
    pub fn counted(&self, now: TimeMs) -> u32 {
        let Some(known) = &self.known else { return 0 };
        self.without_expired(now, &known.record).grants.iter().map(|grant| grant.loads).sum()
    }

    fn has_news(&self) -> bool {
        self.callers_seen
            || !self.needed.is_empty()
            || !self.unresolved.is_empty()
            || !self.taken_over.is_empty()
    }

    fn begin(&mut self, now: TimeMs, call: QuotaCall, grants: Vec<LoadGrant>) -> QuotaCall {
        let unresolved = self.unresolved.clone();
        let taken_over = match call {
            QuotaCall::Read => BTreeSet::new(),
            QuotaCall::Write(_) => std::mem::take(&mut self.taken_over),
        };
        self.under_way = Some(UnderWay { started_at: now, grants, unresolved, taken_over });
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
        if is_late {
            return Vec::new();
        }
        let granted = under_way.grants.iter().map(|grant| GrantedLoads {
            grant: grant.id.clone(),
            domain: grant.domain.clone(),
            loads: grant.loads,
            send_by: under_way.started_at.after(use_ms),
        });
        let granted: Vec<_> = granted.collect();
        self.needed.retain(|domain, _| granted.iter().all(|granted| granted.domain != *domain));
        granted
    }

    fn know(&mut self, now: TimeMs, version: Option<ObjectVersion>, record: QuotaRecord) {
        self.seen.retain(|id, _| record.grants.iter().any(|grant| grant.id == *id));
        for grant in &record.grants {
            let first = Seen { grant_at: now, unresolved: (0, now) };
            let seen = self.seen.entry(grant.id.clone()).or_insert(first);
            if grant.unresolved > seen.unresolved.0 {
                seen.unresolved = (grant.unresolved, now);
            }
        }
        self.known = Some(Known { version, record });
    }

    /// Returns the record without the loads that have begun before the window.
    fn without_expired(&self, now: TimeMs, record: &QuotaRecord) -> QuotaRecord {
        let span_ms = match record.callers_served {
            true => self.window_ms,
            false => FIRST_REQUEST_MS,
        };
        let unresolved_max_ms = UNRESOLVED_MS + self.window_ms;
        let counts = |grant: &LoadGrant| {
            let seen = self.seen.get(&grant.id)?;
            let is_unresolved =
                grant.unresolved > 0 && now.since(seen.unresolved.1) < unresolved_max_ms;
            let is_recent = now.since(seen.grant_at) < span_ms + grant.use_ms + ORDER_MS;
            match (is_recent, is_unresolved) {
                (true, _) => Some(grant.clone()),
                (false, true) => Some(LoadGrant { loads: grant.unresolved, ..grant.clone() }),
                (false, false) => None,
            }
        };
        let grants = record.grants.iter().filter_map(counts).collect();
        QuotaRecord { grants, ..record.clone() }
    }

    /// Marks the loads that may begin late; returns whether there were any.
    fn mark_unresolved(&mut self, record: &mut QuotaRecord) -> bool {
        let mut has_changed = false;
        for grant in &mut record.grants {
            let own = self.unresolved.get(&grant.id).copied().unwrap_or_default();
            let is_own = grant.id.as_str().starts_with(&self.id_prefix);
            // Before callers are served, every node coordinates every domain for a moment.
            let may_be_lost = record.callers_served && !is_own;
            let unresolved = match may_be_lost && self.taken_over.contains(&grant.domain) {
                true => grant.loads,
                false => (grant.unresolved + own).min(grant.loads),
            };
            has_changed |= unresolved != grant.unresolved;
            grant.unresolved = unresolved;
        }
        // Loads of grants that no longer count have nothing to be marked on.
        self.unresolved.retain(|id, _| record.grants.iter().any(|grant| grant.id == *id));
        has_changed
    }

    /// Fills the record of a store that has come back from a copy, which may lack grants.
    fn restore(&self, record: &mut QuotaRecord, version: Option<ObjectVersion>) {
        record.era = version.map_or(0, ObjectVersion::era);
        record.callers_served = true;
        record.grants = vec![LoadGrant {
            id: GrantId::new(format!("{}restored-{}", self.id_prefix, record.era)),
            domain: DomainName::new(""),
            loads: record.loads_max,
            use_ms: USE_MS_MAX,
            unresolved: 0,
        }];
    }

    /// Returns grants for the needs that the record has room for.
    fn make_grants(&mut self, record: &QuotaRecord) -> Vec<LoadGrant> {
        let counted: u32 = record.grants.iter().map(|grant| grant.loads).sum();
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
            grants.push(LoadGrant {
                id,
                domain: domain.clone(),
                loads,
                use_ms: self.use_ms,
                unresolved: 0,
            });
        }
        grants
    }
}
