use std::collections::BTreeMap;

use celeryhaven_types::{DomainName, TimeMs};

use crate::own_grant::OwnGrant;
use crate::quota_call::ShardCall;
use crate::quota_shard::{CallersState, QuotaShard};
use crate::{
    GrantId, GrantedLoads, LoadLimit, LoadNeeds, LoadOutcome, QuotaCall, QuotaReply, ShardKey,
};

/// Pause after a call for the callers' record that failed, in milliseconds.
const FAILED_PAUSE_MS: u64 = 500;

/// Interval of reads of the callers' record while loads wait for room, in milliseconds.
const CALLERS_INTERVAL_MS: u64 = 100;

/// Requests grants of loads from the records that all nodes share.
///
/// The caller sets how many loads each domain needs, carries out the calls that are
/// [due](Self::due), and passes their outcome to [`complete`](Self::complete), which returns the
/// loads that may begin.
///
/// ```
/// use celeryhaven_load_quota::{LoadLimit, LoadNeeds, LoadQuota, QuotaCall, QuotaReply};
/// use celeryhaven_records::WriteOutcome;
/// use celeryhaven_types::{ConfigNumber, DomainName, TimeMs};
///
/// let now = TimeMs::new(0);
/// let limit = LoadLimit::new(ConfigNumber::new(1), 1.0, 5_000);
/// let mut quota = LoadQuota::new("entry-1-1", 5_000);
/// quota.set_needed(&DomainName::new("rack-1"), LoadNeeds { required: 8, optional: 0 });
/// let calls = quota.due(now, limit);
/// assert!(matches!(calls[..], [QuotaCall::ReadCallers, QuotaCall::Read(_)]));
/// let missing = QuotaReply::Record(WriteOutcome::Missing);
/// assert!(quota.complete(now, &calls[1], missing, 0.5).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct LoadQuota {
    holder: String,
    window_ms: u64,
    shards: BTreeMap<ShardKey, QuotaShard>,
    /// Needs of domains, and domains that were taken over and not assigned to a shard yet.
    needed: BTreeMap<DomainName, LoadNeeds>,
    taken_over: Vec<DomainName>,
    callers: CallersState,
    /// Whether the store is known to hold that callers are served.
    callers_recorded: bool,
    /// Whether it is known that the store does not hold it.
    callers_missing: bool,
    /// When the call for it that is under way began.
    callers_call_at: Option<TimeMs>,
    callers_retry_at: TimeMs,
    /// When it is read again although no grant waits for it.
    callers_read_at: TimeMs,
}

impl LoadQuota {
    /// Creates the quota of a node for a window; `holder` is unique to this start of the process.
    pub fn new(holder: impl Into<String>, window_ms: u64) -> Self {
        Self {
            holder: holder.into(),
            window_ms,
            shards: BTreeMap::new(),
            needed: BTreeMap::new(),
            taken_over: Vec::new(),
            callers: CallersState::Unknown,
            callers_recorded: false,
            callers_missing: false,
            callers_call_at: None,
            callers_retry_at: TimeMs::new(0),
            callers_read_at: TimeMs::new(0),
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
        self.taken_over.push(domain);
    }

    /// Records that this node no longer coordinates a domain.
    pub fn hand_over(&mut self, domain: &DomainName) {
        self.needed.remove(domain);
        self.taken_over.retain(|taken_over| taken_over != domain);
        self.shards.values_mut().for_each(|shard| shard.hand_over(domain));
    }

    /// Records that a caller has sent a request to this node.
    pub fn record_caller(&mut self) {
        self.set_served();
    }

    /// Whether a caller has sent a request to any node, as far as this one knows.
    pub fn callers_served(&self) -> bool {
        self.callers == CallersState::Served
    }

    /// Records that the order of one load of a grant is being sent.
    pub fn record_order(&mut self, grant: &GrantId) {
        self.own_grants(grant).for_each(OwnGrant::record_order);
    }

    /// Records what became of the order of one load of a grant.
    pub fn record_outcome(&mut self, grant: &GrantId, outcome: LoadOutcome) {
        self.own_grants(grant).for_each(|own| own.record_outcome(outcome));
    }

    fn own_grants<'a>(&'a mut self, grant: &'a GrantId) -> impl Iterator<Item = &'a mut OwnGrant> {
        self.shards.values_mut().filter_map(move |shard| shard.own_grant(grant))
    }

    /// Returns when a call may be due that is not due now because another node's call was faster.
    pub fn retry_at(&self, now: TimeMs) -> Option<TimeMs> {
        self.shards.values().filter_map(|shard| shard.retry_at(now)).min()
    }

    /// Returns the loads that domains need and that no record has room for, if any.
    pub fn held_back(&self) -> u32 {
        self.shards.values().map(QuotaShard::held_back).sum()
    }

    /// Returns the loads that count against the limit, in the records that this node uses.
    pub fn counted(&self, now: TimeMs) -> u32 {
        let counted = self.shards.values().map(|shard| shard.counted(now, self.callers));
        counted.fold(0, u32::saturating_add)
    }

    /// Returns the calls that are due, and counts them as under way.
    pub fn due(&mut self, now: TimeMs, limit: LoadLimit) -> Vec<QuotaCall> {
        self.assign(limit);
        let mut calls: Vec<QuotaCall> = self.callers_call(now).into_iter().collect();
        for (&key, shard) in &mut self.shards {
            let call = shard.due(now, key.part_of(limit), self.callers);
            calls.extend(call.map(|call| call.of(key)));
        }
        calls
    }

    /// Applies the outcome of a call; returns the loads that may begin.
    ///
    /// `jitter`, from 0 to 1, spreads the calls of nodes that conflict.
    pub fn complete(
        &mut self,
        now: TimeMs,
        call: &QuotaCall,
        reply: QuotaReply,
        jitter: f64,
    ) -> Vec<GrantedLoads> {
        let (key, shard_call) = match call {
            QuotaCall::ReadCallers | QuotaCall::WriteCallers => {
                return match reply {
                    QuotaReply::Callers(recorded) => self.callers_replied(now, recorded),
                    QuotaReply::Record(_) => Vec::new(),
                };
            }
            QuotaCall::Read(key) => (key, ShardCall::Read),
            QuotaCall::Write(key, write) => (key, ShardCall::Write(write.clone())),
        };
        let QuotaReply::Record(outcome) = reply else { return Vec::new() };
        let Some(shard) = self.shards.get_mut(key) else { return Vec::new() };
        let granted = shard.complete(now, self.callers, &shard_call, outcome, jitter);
        self.forget_granted(granted)
    }

    /// Removes needs that are met, until the caller sets them again.
    fn forget_granted(&mut self, granted: Vec<GrantedLoads>) -> Vec<GrantedLoads> {
        self.needed.retain(|domain, _| granted.iter().all(|granted| granted.domain != *domain));
        granted
    }

    /// Passes needs to the records of their domains.
    fn assign(&mut self, limit: LoadLimit) {
        let (holder, window_ms) = (&self.holder, self.window_ms);
        let new_shard = || QuotaShard::new(holder, window_ms);
        for domain in self.taken_over.drain(..) {
            let key = ShardKey::of_domain(&domain, limit);
            self.shards.entry(key).or_insert_with(new_shard).take_over(domain);
        }
        self.shards.values_mut().for_each(QuotaShard::clear_needed);
        for (domain, &needs) in &self.needed {
            let key = ShardKey::of_domain(domain, limit);
            self.shards.entry(key).or_insert_with(new_shard).set_needed(domain, needs);
        }
    }

    fn callers_call(&mut self, now: TimeMs) -> Option<QuotaCall> {
        if self.callers_call_at.is_some() || now < self.callers_retry_at {
            return None;
        }
        let call = if self.callers_served() {
            match (self.callers_recorded, self.callers_missing) {
                (true, _) => return None,
                (false, true) => QuotaCall::WriteCallers,
                (false, false) => QuotaCall::ReadCallers,
            }
        } else if self.shards.values().any(QuotaShard::has_unconfirmed) {
            QuotaCall::ReadCallers
        } else if !self.needed.is_empty() && now >= self.callers_read_at {
            self.callers_read_at = now.after(CALLERS_INTERVAL_MS);
            QuotaCall::ReadCallers
        } else {
            return None;
        };
        self.callers_call_at = Some(now);
        Some(call)
    }

    fn callers_replied(&mut self, now: TimeMs, recorded: Option<bool>) -> Vec<GrantedLoads> {
        let Some(began_at) = self.callers_call_at.take() else { return Vec::new() };
        match recorded {
            None => {
                self.callers_retry_at = now.after(FAILED_PAUSE_MS);
                return Vec::new();
            }
            Some(true) => {
                self.callers_recorded = true;
                self.set_served();
            }
            Some(false) => {
                self.callers_missing = true;
                if !self.callers_served() {
                    self.callers = CallersState::UnservedAt(began_at);
                }
            }
        }
        if self.callers_served() {
            return Vec::new();
        }
        let shards = self.shards.values_mut();
        let granted = shards.flat_map(|shard| shard.confirm_unserved(now, began_at)).collect();
        self.forget_granted(granted)
    }

    fn set_served(&mut self) {
        self.callers = CallersState::Served;
        self.shards.values_mut().for_each(QuotaShard::drop_unconfirmed);
    }
}
