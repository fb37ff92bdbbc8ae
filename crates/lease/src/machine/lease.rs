use std::sync::Arc;

use celeryhaven_derives::state;
use celeryhaven_types::store::{Object, ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use celeryhaven_types::{Fence, Incarnation, TimeMs};

use crate::machine::{Call, LeaseTerm, ObservedObject, Proximity, UnconfirmedWrite};
use crate::record::LeaseRecord;
use crate::settings::LeaseSettings;

state! {
    /// A candidate for a lease.
    ///
    /// It has at most one call in flight. Random waits are derived from a seed, so that runs are
    /// reproducible.
    ///
    /// ```
    /// use celeryhaven_lease::{Lease, LeaseSettings, Proximity};
    /// use celeryhaven_types::store::{ObjectKey, ObjectVersion, StoreReply, StoreRequest};
    /// use celeryhaven_types::{Boot, Fence, Incarnation, NodeName, TimeMs};
    ///
    /// let me = Incarnation::new(NodeName::new("entry-1"), Boot::new(7));
    /// let key = ObjectKey::new("leases/fabric-1");
    /// let mut lease = Lease::new(key, me, Proximity::Near, LeaseSettings::default(), 42);
    /// let now = TimeMs::new(0);
    /// lease.observe(now, None);
    /// let later = lease.next_wake(now).expect("the lease is free");
    /// let request = lease.poll(later).expect("a read is due");
    /// assert!(matches!(request, StoreRequest::Get { .. }));
    /// lease.apply_reply(later, StoreReply::Missing);
    /// let request = lease.poll(later).expect("a write is due");
    /// assert!(matches!(request, StoreRequest::Create { .. }));
    /// lease.apply_reply(later, StoreReply::Written { version: ObjectVersion::new(1) });
    /// assert_eq!(lease.held(later), Some(Fence::new(1)));
    /// assert_eq!(lease.held(later.after(60_000)), None);
    /// ```
    pub struct Lease {
        key: ObjectKey,
        candidate: Incarnation,
        proximity: Proximity,
        settings: LeaseSettings,
        seed: u64,
        extra_wait_ms: u64,
        fence_floor: Fence,
        writes: u64,
        last_read_at: Option<TimeMs>,
        observed: Option<ObservedObject>,
        call: Option<Call>,
        unconfirmed_write: Option<UnconfirmedWrite>,
        term: Option<LeaseTerm>,
        retry_at: TimeMs,
        releasing: bool,
    }
}

/// Construction.
impl Lease {
    /// Creates a candidate without observations; `seed` must differ between candidates.
    pub fn new(
        key: ObjectKey,
        candidate: Incarnation,
        proximity: Proximity,
        settings: LeaseSettings,
        seed: u64,
    ) -> Self {
        Self {
            key,
            candidate,
            proximity,
            settings,
            seed,
            extra_wait_ms: 0,
            fence_floor: Fence::default(),
            writes: 0,
            last_read_at: None,
            observed: None,
            call: None,
            unconfirmed_write: None,
            term: None,
            retry_at: TimeMs::default(),
            releasing: false,
        }
    }
}

/// Current state.
impl Lease {
    /// Returns the fencing number if this candidate holds the lease and may act now.
    ///
    /// Callers must check this immediately before each action.
    pub fn held(&self, now: TimeMs) -> Option<Fence> {
        self.term.filter(|term| now < term.until).map(|term| term.fence)
    }

    /// Returns when the holder must stop acting unless it renews; `None` without a term.
    pub fn held_until(&self) -> Option<TimeMs> {
        self.term.map(|term| term.until)
    }

    /// Returns the key of the lease's object.
    pub const fn key(&self) -> &ObjectKey {
        &self.key
    }

    /// Returns the latest observed record, of any holder.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.observed.as_ref()?.object.as_ref().map(|(_, record)| record)
    }
}

/// Inputs.
impl Lease {
    /// Sets the extra wait of this candidate before it acquires a free or expired lease.
    ///
    /// Longer waits for controllers that hold many leases distribute leases over controllers.
    pub fn set_extra_wait_ms(&mut self, extra_wait_ms: u64) {
        self.extra_wait_ms = extra_wait_ms;
    }

    /// Ends the term, and renews at once with a fencing number above the given one.
    ///
    /// A holder calls this when the guarded resource has a higher number than its own, as happens if
    /// an operator deletes the lease's object and the numbers restart. If another process has
    /// acquired the lease instead, the renewal fails with a version conflict.
    pub fn raise_fence(&mut self, above: Fence) {
        if self.record().is_some_and(|record| record.fence <= above) {
            self.fence_floor = above;
            self.term = None;
        }
    }

    /// Ends the term at once, releases the lease at the next poll and never acquires it again.
    pub fn release(&mut self) {
        self.releasing = true;
        self.term = None;
    }

    /// Applies the object as read or listed; `None` if there is no object.
    ///
    /// Versions that are not newer than the latest observed one are ignored, since reads may be stale.
    pub fn observe(&mut self, now: TimeMs, object: Option<&Object>) {
        let object = object.and_then(|object| {
            let record = serde_json::from_str::<LeaseRecord>(&object.value).ok()?;
            Some((object.version, record))
        });
        let version = object.as_ref().map(|(version, _)| *version).unwrap_or_default();
        if self.observed.as_ref().is_some_and(|observed| version <= observed.version()) {
            return;
        }
        self.set_observed(now, object);
    }

    /// Applies the reply to the call that [`Lease::poll`] returned last.
    pub fn apply_reply(&mut self, now: TimeMs, reply: StoreReply) {
        match self.call.take() {
            Some(Call::Read { .. }) => self.complete_read(now, reply),
            Some(Call::Write { sent_at, record }) => {
                self.complete_write(now, sent_at, record, reply);
            }
            None => {}
        }
    }

    fn complete_read(&mut self, now: TimeMs, reply: StoreReply) {
        let version = match reply {
            StoreReply::Found(object) => {
                self.observe(now, Some(&object));
                object.version
            }
            // Deleted by an operator, or a stale read, in which case creating it again fails.
            StoreReply::Missing => {
                if self.record().is_some() || self.observed.is_none() {
                    self.set_observed(now, None);
                }
                ObjectVersion::default()
            }
            _ => return self.retry_at = now.after(self.settings.call_timeout_ms),
        };
        if self.observed.as_ref().is_some_and(|observed| version < observed.version()) {
            return self.retry_at = now.after(self.settings.call_timeout_ms / 4);
        }
        // The read shows whether the unconfirmed write has taken effect. If it still does so later,
        // either it or the next write fails with a version conflict, and another read follows.
        self.unconfirmed_write = None;
        self.last_read_at = Some(now);
    }

    fn complete_write(
        &mut self,
        now: TimeMs,
        sent_at: TimeMs,
        record: LeaseRecord,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Written { version } => {
                if !record.released && !self.releasing {
                    self.start_term(sent_at, record.fence);
                }
                self.observed =
                    Some(ObservedObject { object: Some((version, record)), since: now });
            }
            StoreReply::Rejected => self.retry_at = now.after(self.settings.call_timeout_ms / 4),
            // Another process wrote, or an earlier write of this one took effect late. A read must
            // show which, and the lease does not count as held until then.
            StoreReply::Conflict => {
                self.term = None;
                self.unconfirmed_write = Some(UnconfirmedWrite { sent_at, record });
            }
            _ => {
                self.unconfirmed_write = Some(UnconfirmedWrite { sent_at, record });
                self.retry_at = now.after(self.settings.call_timeout_ms / 4);
            }
        }
    }

    fn set_observed(&mut self, now: TimeMs, object: Option<(ObjectVersion, LeaseRecord)>) {
        let own_record =
            object.as_ref().map(|(_, record)| record).filter(|r| r.holder == self.candidate);
        match own_record.map(|record| (record.clone(), self.write_sent_at(record))) {
            Some((record, Some(sent_at))) if !record.released && !self.releasing => {
                self.start_term(sent_at, record.fence);
            }
            // An own write of unknown sending time: no other process has held the lease since, but
            // it starts no new term.
            Some(_) => {}
            None => self.term = None,
        }
        self.observed = Some(ObservedObject { object, since: now });
    }

    /// Returns when the write of this record was sent, if it is the last one and has no reply.
    fn write_sent_at(&self, record: &LeaseRecord) -> Option<TimeMs> {
        match (&self.call, &self.unconfirmed_write) {
            (Some(Call::Write { sent_at, record: sent }), _) if sent == record => Some(*sent_at),
            (_, Some(unconfirmed_write)) if unconfirmed_write.record == *record => {
                Some(unconfirmed_write.sent_at)
            }
            _ => None,
        }
    }

    fn start_term(&mut self, sent_at: TimeMs, fence: Fence) {
        let term_ms = self.settings.ttl_ms.saturating_sub(self.settings.margin_ms);
        self.term = Some(LeaseTerm {
            fence,
            until: sent_at.after(term_ms),
            renew_at: sent_at.after(self.settings.renew_every_ms),
        });
    }
}

/// Calls to the store.
impl Lease {
    /// Returns the call to make now, if one is due.
    pub fn poll(&mut self, now: TimeMs) -> Option<StoreRequest> {
        self.expire_call(now);
        if self.call.is_some() || now < self.next_call_at(now)? {
            return None;
        }
        if self.unconfirmed_write.is_some() || !(self.is_holder() || self.has_recent_read(now)) {
            return Some(self.read(now));
        }
        Some(self.write(now))
    }

    /// Returns when to call [`Lease::poll`] next; `None` if no call will be due.
    pub fn next_wake(&self, now: TimeMs) -> Option<TimeMs> {
        match &self.call {
            Some(call) => Some(call.sent_at().after(self.settings.call_timeout_ms)),
            None => self.next_call_at(now),
        }
    }

    /// Completes a call that has timed out with an unknown result, so that a dead connection does
    /// not block renewals.
    fn expire_call(&mut self, now: TimeMs) {
        let timeout_ms = self.settings.call_timeout_ms;
        if self.call.as_ref().is_some_and(|call| now.since(call.sent_at()) >= timeout_ms) {
            self.apply_reply(now, StoreReply::Unknown);
        }
    }

    fn next_call_at(&self, now: TimeMs) -> Option<TimeMs> {
        if self.unconfirmed_write.is_some() {
            return Some(self.retry_at);
        }
        let observed = self.observed.as_ref()?;
        let at = match &observed.object {
            Some((_, record)) if record.holder == self.candidate && !record.released => {
                if self.releasing { now } else { self.term.map_or(now, |term| term.renew_at) }
            }
            _ if self.releasing => return None,
            Some((_, record)) if !record.released => {
                observed.since.after(self.settings.ttl_ms).after(self.wait_ms())
            }
            _ => observed.since.after(self.wait_ms()),
        };
        Some(at.max(self.retry_at))
    }

    fn wait_ms(&self) -> u64 {
        let far_ms = match self.proximity {
            Proximity::Near => 0,
            Proximity::Far => self.settings.far_delay_ms,
        };
        let version = self.observed.as_ref().map(ObservedObject::version).unwrap_or_default();
        let jitter_permille = splitmix64(self.seed ^ version.get()) % 1_000;
        self.settings.jitter_ms * jitter_permille / 1_000 + far_ms + self.extra_wait_ms
    }

    /// Whether the object was read within the last `call_timeout_ms` and not written since.
    ///
    /// Candidates read before they acquire. When many of them wait for the same expiry, all but the
    /// first find the lease taken by this read and send no write.
    fn has_recent_read(&self, now: TimeMs) -> bool {
        self.last_read_at.is_some_and(|at| now.since(at) < self.settings.call_timeout_ms)
    }

    fn is_holder(&self) -> bool {
        self.record().is_some_and(|record| record.holder == self.candidate && !record.released)
    }

    fn read(&mut self, now: TimeMs) -> StoreRequest {
        self.call = Some(Call::Read { sent_at: now });
        StoreRequest::Get { key: self.key.clone() }
    }

    fn write(&mut self, now: TimeMs) -> StoreRequest {
        self.last_read_at = None;
        self.writes += 1;
        let record = self.next_record();
        // A record of strings and numbers always serializes.
        let value: Arc<str> = serde_json::to_string(&record).unwrap_or_default().into();
        self.call = Some(Call::Write { sent_at: now, record });
        let key = self.key.clone();
        match self.observed.as_ref().and_then(|observed| observed.object.as_ref()) {
            Some((version, _)) => StoreRequest::Update { key, version: *version, value },
            None => StoreRequest::Create { key, value },
        }
    }

    fn next_record(&self) -> LeaseRecord {
        let last_fence = self.record().map(|record| record.fence).unwrap_or_default();
        LeaseRecord {
            holder: self.candidate.clone(),
            fence: if self.is_holder() && last_fence > self.fence_floor {
                last_fence
            } else {
                last_fence.max(self.fence_floor).next()
            },
            write_id: self.writes,
            released: self.releasing,
        }
    }
}

/// The output function of SplitMix64.
const fn splitmix64(seed: u64) -> u64 {
    let mut bits = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
