use std::sync::Arc;

use celeryhaven_derives::state;
use celeryhaven_types::store::{Object, ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use celeryhaven_types::{Fence, Incarnation, TimeMs};

use crate::machine::{Call, Doubt, Held, Proximity, Seen};
use crate::record::LeaseRecord;
use crate::settings::LeaseSettings;

state! {
    /// One candidate's view of one lease.
    ///
    /// At most one call of a lease is under way at a time. Its random waits come from a seed, so
    /// that a run can be repeated.
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
    /// let later = lease.next_wake(now).expect("it will take the free lease");
    /// let request = lease.poll(later).expect("it looks once more");
    /// assert!(matches!(request, StoreRequest::Get { .. }));
    /// lease.apply_reply(later, StoreReply::Missing);
    /// let request = lease.poll(later).expect("the free lease is created");
    /// assert!(matches!(request, StoreRequest::Create { .. }));
    /// lease.apply_reply(later, StoreReply::Written { version: ObjectVersion::new(1) });
    /// assert_eq!(lease.held(later), Some(Fence::new(1)));
    /// assert_eq!(lease.held(later.after(60_000)), None);
    /// ```
    pub struct Lease {
        key: ObjectKey,
        me: Incarnation,
        proximity: Proximity,
        settings: LeaseSettings,
        seed: u64,
        extra_wait_ms: u64,
        fence_floor: Fence,
        writes: u64,
        looked_at: Option<TimeMs>,
        seen: Option<Seen>,
        call: Option<Call>,
        doubt: Option<Doubt>,
        held: Option<Held>,
        retry_at: TimeMs,
        releasing: bool,
    }
}

/// Construction.
impl Lease {
    /// A candidate that has seen nothing yet; `seed` differs among candidates.
    pub fn new(
        key: ObjectKey,
        me: Incarnation,
        proximity: Proximity,
        settings: LeaseSettings,
        seed: u64,
    ) -> Self {
        Self {
            key,
            me,
            proximity,
            settings,
            seed,
            extra_wait_ms: 0,
            fence_floor: Fence::default(),
            writes: 0,
            looked_at: None,
            seen: None,
            call: None,
            doubt: None,
            held: None,
            retry_at: TimeMs::default(),
            releasing: false,
        }
    }
}

/// What the candidate may do.
impl Lease {
    /// The fencing number under which the holder may act now; `None` if it may not.
    ///
    /// Callers ask again right before each act, never once for several.
    pub fn held(&self, now: TimeMs) -> Option<Fence> {
        self.held.filter(|held| now < held.until).map(|held| held.fence)
    }

    /// When the holder must stop acting unless it renews.
    pub fn held_until(&self) -> Option<TimeMs> {
        self.held.map(|held| held.until)
    }

    /// The object that keeps the lease.
    pub const fn key(&self) -> &ObjectKey {
        &self.key
    }

    /// The record last seen, whoever wrote it.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.seen.as_ref()?.object.as_ref().map(|(_, record)| record)
    }
}

/// What the candidate hears.
impl Lease {
    /// Sets how much longer this candidate waits than others before it takes a lapsed lease.
    ///
    /// A controller that holds many leases waits longer, so that leases spread over controllers.
    pub fn set_extra_wait_ms(&mut self, extra_wait_ms: u64) {
        self.extra_wait_ms = extra_wait_ms;
    }

    /// Takes a fencing number above this one with the next renewal, which is due at once.
    ///
    /// For a holder that finds a higher number than its own in what it guards: the lease's object
    /// was removed by hand, and its numbers began anew. If instead somebody took the lease over, the
    /// renewal names a version that is gone and fails.
    pub fn raise_fence(&mut self, above: Fence) {
        if self.record().is_some_and(|record| record.fence <= above) {
            self.fence_floor = above;
            self.held = None;
        }
    }

    /// Stops acting at once, gives the lease up at the next poll, and takes it no more.
    pub fn release(&mut self) {
        self.releasing = true;
        self.held = None;
    }

    /// Takes in a read of the object, its own or part of a list; `None` if there is no object.
    ///
    /// An older version than seen before is ignored: reads of the store may be stale.
    pub fn observe(&mut self, now: TimeMs, object: Option<&Object>) {
        let object = object.and_then(|object| {
            let record = serde_json::from_str::<LeaseRecord>(&object.value).ok()?;
            Some((object.version, record))
        });
        let version = object.as_ref().map(|(version, _)| *version).unwrap_or_default();
        if self.seen.as_ref().is_some_and(|seen| version <= seen.version()) {
            return;
        }
        self.see(now, object);
    }

    /// Takes in the answer to the call that [`Lease::poll`] returned last.
    pub fn apply_reply(&mut self, now: TimeMs, reply: StoreReply) {
        match self.call.take() {
            Some(Call::Read { .. }) => self.read_ended(now, reply),
            Some(Call::Write { sent_at, record }) => {
                self.write_ended(now, sent_at, record, reply);
            }
            None => {}
        }
    }

    fn read_ended(&mut self, now: TimeMs, reply: StoreReply) {
        let version = match reply {
            StoreReply::Found(object) => {
                self.observe(now, Some(&object));
                object.version
            }
            // Removed by hand, or an old read: creating it anew fails if it is there.
            StoreReply::Missing => {
                if self.record().is_some() || self.seen.is_none() {
                    self.see(now, None);
                }
                ObjectVersion::default()
            }
            _ => return self.retry_at = now.after(self.settings.call_timeout_ms),
        };
        if self.seen.as_ref().is_some_and(|seen| version < seen.version()) {
            return self.retry_at = now.after(self.settings.call_timeout_ms / 4);
        }
        // If the doubtful write had taken effect, `see` found its identity. If it takes effect
        // later still, one of it and our next write fails at the version, and a read follows.
        self.doubt = None;
        self.looked_at = Some(now);
    }

    fn write_ended(
        &mut self,
        now: TimeMs,
        sent_at: TimeMs,
        record: LeaseRecord,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Written { version } => {
                if !record.released && !self.releasing {
                    self.hold(sent_at, record.fence);
                }
                self.seen = Some(Seen { object: Some((version, record)), since: now });
            }
            StoreReply::NotDone => self.retry_at = now.after(self.settings.call_timeout_ms / 4),
            // Somebody else wrote, or an earlier write of ours took effect late: read before
            // another try. Until the read says so, this process does not hold the lease.
            StoreReply::Conflict => {
                self.held = None;
                self.doubt = Some(Doubt { sent_at, record });
            }
            _ => {
                self.doubt = Some(Doubt { sent_at, record });
                self.retry_at = now.after(self.settings.call_timeout_ms / 4);
            }
        }
    }

    fn see(&mut self, now: TimeMs, object: Option<(ObjectVersion, LeaseRecord)>) {
        let ours = object.as_ref().map(|(_, record)| record).filter(|r| r.holder == self.me);
        match ours.map(|record| (record.clone(), self.sent_at(record))) {
            Some((record, Some(sent_at))) if !record.released && !self.releasing => {
                self.hold(sent_at, record.fence);
            }
            // A write of ours whose sending time is forgotten: it proves that nobody else held
            // the lease since, but gives no new time to act.
            Some(_) => {}
            None => self.held = None,
        }
        self.seen = Some(Seen { object, since: now });
    }

    /// When the write of this record was sent, if it is the last one and had no answer.
    fn sent_at(&self, record: &LeaseRecord) -> Option<TimeMs> {
        match (&self.call, &self.doubt) {
            (Some(Call::Write { sent_at, record: sent }), _) if sent == record => Some(*sent_at),
            (_, Some(doubt)) if doubt.record == *record => Some(doubt.sent_at),
            _ => None,
        }
    }

    fn hold(&mut self, sent_at: TimeMs, fence: Fence) {
        let span_ms = self.settings.ttl_ms.saturating_sub(self.settings.margin_ms);
        self.held = Some(Held {
            fence,
            until: sent_at.after(span_ms),
            renew_at: sent_at.after(self.settings.renew_every_ms),
        });
    }
}

/// What the candidate asks of the store.
impl Lease {
    /// The call to make now, if one is due.
    pub fn poll(&mut self, now: TimeMs) -> Option<StoreRequest> {
        self.expire_call(now);
        if self.call.is_some() || now < self.due(now)? {
            return None;
        }
        if self.doubt.is_some() || !(self.is_ours() || self.has_looked(now)) {
            return Some(self.read(now));
        }
        Some(self.write(now))
    }

    /// When [`Lease::poll`] should be called next.
    pub fn next_wake(&self, now: TimeMs) -> Option<TimeMs> {
        match &self.call {
            Some(call) => Some(call.sent_at().after(self.settings.call_timeout_ms)),
            None => self.due(now),
        }
    }

    /// A call whose answer stays away ends as unknown, so that a dead connection does not stop
    /// renewals for good.
    fn expire_call(&mut self, now: TimeMs) {
        let timeout_ms = self.settings.call_timeout_ms;
        if self.call.as_ref().is_some_and(|call| now.since(call.sent_at()) >= timeout_ms) {
            self.apply_reply(now, StoreReply::Unknown);
        }
    }

    fn due(&self, now: TimeMs) -> Option<TimeMs> {
        if self.doubt.is_some() {
            return Some(self.retry_at);
        }
        let seen = self.seen.as_ref()?;
        let at =
            match &seen.object {
                Some((_, record)) if record.holder == self.me && !record.released => {
                    if self.releasing { now } else { self.held.map_or(now, |held| held.renew_at) }
                }
                _ if self.releasing => return None,
                Some((_, record)) if !record.released => {
                    seen.since.after(self.settings.ttl_ms).after(self.wait_ms())
                }
                _ => seen.since.after(self.wait_ms()),
            };
        Some(at.max(self.retry_at))
    }

    fn wait_ms(&self) -> u64 {
        let far_ms = match self.proximity {
            Proximity::Near => 0,
            Proximity::Far => self.settings.far_delay_ms,
        };
        let version = self.seen.as_ref().map(Seen::version).unwrap_or_default();
        let jitter_permille = mix(self.seed ^ version.get()) % 1_000;
        self.settings.jitter_ms * jitter_permille / 1_000 + far_ms + self.extra_wait_ms
    }

    /// Whether a read just now found the lease as last seen.
    ///
    /// Of many candidates whose random waits end at about the same time, all but the first see in
    /// that read that the lease is taken. Without it each of them would spend a write.
    fn has_looked(&self, now: TimeMs) -> bool {
        self.looked_at.is_some_and(|at| now.since(at) < self.settings.call_timeout_ms)
    }

    fn is_ours(&self) -> bool {
        self.record().is_some_and(|record| record.holder == self.me && !record.released)
    }

    fn read(&mut self, now: TimeMs) -> StoreRequest {
        self.call = Some(Call::Read { sent_at: now });
        StoreRequest::Get { key: self.key.clone() }
    }

    fn write(&mut self, now: TimeMs) -> StoreRequest {
        self.looked_at = None;
        self.writes += 1;
        let record = self.next_record();
        // A record of plain names and numbers always has a JSON form.
        let value: Arc<str> = serde_json::to_string(&record).unwrap_or_default().into();
        self.call = Some(Call::Write { sent_at: now, record });
        let key = self.key.clone();
        match self.seen.as_ref().and_then(|seen| seen.object.as_ref()) {
            Some((version, _)) => StoreRequest::Update { key, version: *version, value },
            None => StoreRequest::Create { key, value },
        }
    }

    fn next_record(&self) -> LeaseRecord {
        let last_fence = self.record().map(|record| record.fence).unwrap_or_default();
        LeaseRecord {
            holder: self.me.clone(),
            fence: if self.is_ours() && last_fence > self.fence_floor {
                last_fence
            } else {
                last_fence.max(self.fence_floor).next()
            },
            write_id: self.writes,
            released: self.releasing,
        }
    }
}

/// Spreads the bits of a seed over a whole number (the finalizer of SplitMix64).
const fn mix(seed: u64) -> u64 {
    let mut bits = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
