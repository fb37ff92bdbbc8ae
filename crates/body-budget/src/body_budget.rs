use std::collections::BTreeSet;

use celeryhaven_types::{Map, OrganisationName, TimeMs};
use slotmap::SlotMap;

use crate::body::{Body, BodyHead, BodyKey, Length, OrganisationKey, Phase, SHORT_BYTES_MAX};
use crate::decision::{BodyRefusal, Decision, RefusalReason};
use crate::hold_time::HoldTime;
use crate::read_times::ReadTimes;
use crate::return_times::ReturnTimes;

/// Part of the room that only short bodies may use, as a divisor.
const SHORT_DIVISOR: u64 = 8;

/// The request bodies of a node, and who gets room for the next one.
///
/// Load that it answers: many callers send bodies at once that together exceed the memory of the
/// node, some of them slowly, or most of them for one organisation, while others send short ones.
///
/// ```
/// use celeryhaven_body_budget::{BodyBudget, BodyHead, Decision};
/// use celeryhaven_types::TimeMs;
/// let now = TimeMs::new(0);
/// let mut budget = BodyBudget::new(8_000_000);
/// let organisation = budget.organisation(None);
/// let (length_bytes, deadline) = (Some(4_000_000), now.after(8_000));
/// let head = BodyHead { rank: 1, organisation, length_bytes, deadline, answer_ms: None };
/// let (first, decision) = budget.arrive(now, &head);
/// assert_eq!(decision, Decision::Read);
/// let (second, decision) = budget.arrive(now, &head);
/// assert_eq!(decision, Decision::Wait);
/// budget.receive(now, first, 4_000_000);
/// assert_eq!(budget.complete(now, first), Decision::Read);
/// budget.release(now.after(900), first, 4_000_000);
/// assert_eq!(budget.poll(now.after(900)), [(second, Decision::Read)]);
/// ```
#[derive(Clone, Debug)]
pub struct BodyBudget {
    pub(crate) limit_bytes: u64,
    pub(crate) bodies: SlotMap<BodyKey, Body>,
    /// The bodies that are long or wait: short ones that are read or held need no attention.
    watched: BTreeSet<BodyKey>,
    /// Bytes that all bodies use, without their claims.
    pub(crate) used_bytes: u64,
    /// Bytes of all bodies that have been received and not released.
    held_bytes: u64,
    organisations: Map<OrganisationName, OrganisationKey>,
    /// The part of the held bytes of each organisation; the first is that of callers without one.
    held_by: Vec<u64>,
    pub(crate) hold_time: HoldTime,
    pub(crate) read_times: ReadTimes,
    pub(crate) return_times: ReturnTimes,
    /// Longest body that callers may send.
    body_bytes_max: u64,
    arrived: u64,
    /// Whether a body has begun to wait before another one since the last poll.
    is_overtaken: bool,
}

impl BodyBudget {
    /// Creates a budget of this many bytes, in which a body of any length is accepted that fits.
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            limit_bytes,
            bodies: SlotMap::with_key(),
            watched: BTreeSet::new(),
            used_bytes: 0,
            held_bytes: 0,
            organisations: Map::default(),
            held_by: vec![0],
            hold_time: HoldTime::default(),
            read_times: ReadTimes::default(),
            return_times: ReturnTimes::default(),
            body_bytes_max: limit_bytes - limit_bytes / SHORT_DIVISOR,
            arrived: 0,
            is_overtaken: false,
        }
    }

    /// Sets the bytes that bodies may use; bodies that are held stay.
    pub fn set_limit(&mut self, limit_bytes: u64) {
        self.limit_bytes = limit_bytes;
    }

    /// Sets the length that a body in chunks may have, in bytes.
    pub fn set_body_max(&mut self, body_bytes_max: u64) {
        self.body_bytes_max = body_bytes_max;
    }

    /// Returns the bytes that bodies may use.
    pub fn limit_bytes(&self) -> u64 {
        self.limit_bytes
    }

    /// Returns the bytes that bodies use.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Returns the bytes of bodies that have been received and not released.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns the key of an organisation; callers without one share a key.
    pub fn organisation(&mut self, name: Option<&OrganisationName>) -> OrganisationKey {
        let Some(name) = name else { return OrganisationKey::default() };
        if let Some(key) = self.organisations.get(name) {
            return *key;
        }
        let key = OrganisationKey(self.held_by.len() as u32);
        self.held_by.push(0);
        self.organisations.insert(name.clone(), key);
        key
    }

    /// Returns the number of bodies that wait for room.
    pub fn waiting(&self) -> usize {
        self.watched().filter(|(_, body)| body.phase == Phase::Waiting).count()
    }

    /// Adds a body. Its key stays valid until [`Self::remove`], also if it is refused.
    pub fn arrive(&mut self, now: TimeMs, head: &BodyHead) -> (BodyKey, Decision) {
        let need_bytes = head.length_bytes.unwrap_or(self.body_bytes_max);
        self.arrived += 1;
        let body = Body::new(now, head, need_bytes, self.arrived);
        self.used_bytes += body.used_bytes();
        let key = self.bodies.insert(body);
        (key, self.start_or_wait(now, key))
    }

    /// Adds received bytes of a body; returns whether more of it may be read.
    pub fn receive(&mut self, now: TimeMs, key: BodyKey, bytes: u64) -> Decision {
        let Some(body) = self.bodies.get(key).copied() else { return Decision::Read };
        let is_fast = self.update(key, |body| body.receive(now, bytes));
        if body.length == Length::Short {
            let outgrown = body.held_bytes + bytes > SHORT_BYTES_MAX;
            return if outgrown { self.grow(now, key) } else { Decision::Read };
        }
        if is_fast && self.fits(now, key) {
            self.update(key, Body::claim);
        }
        let Some(body) = self.bodies.get(key).copied() else { return Decision::Read };
        let may_wait = body.phase == Phase::Reading && body.missing_bytes() > 0;
        let is_full = self.used_bytes + self.claimed_bytes(now) > self.limit_of(Length::Long);
        match may_wait && is_full && !body.is_claimed(now) {
            true => self.start_or_wait(now, key),
            false => Decision::Read,
        }
    }

    /// Records that a body has been read to its end; refuses it if it has waited for so long that its
    /// request could no longer be answered in time.
    pub fn complete(&mut self, now: TimeMs, key: BodyKey) -> Decision {
        let Some(body) = self.bodies.get(key).copied() else { return Decision::Read };
        if body.length == Length::Long && body.is_claimed(now) {
            self.read_times.record(now.since(body.started_at));
        }
        let answer_ms = body.answer_ms.unwrap_or(0);
        if body.has_waited && answer_ms > body.deadline.since(now) {
            let refusal = self.refuse(now, &body, RefusalReason::WaitedTooLong);
            self.update(key, |body| body.phase = Phase::Refused);
            return Decision::Refuse(refusal);
        }
        self.update(key, |body| {
            body.phase = Phase::Held { since: now };
            body.need_bytes = body.held_bytes;
        });
        Decision::Read
    }

    /// Records that bytes of a body are no longer held.
    pub fn release(&mut self, now: TimeMs, key: BodyKey, bytes: u64) {
        let Some(body) = self.bodies.get(key).copied() else { return };
        self.update(key, |body| body.held_bytes = body.held_bytes.saturating_sub(bytes));
        if let Phase::Held { since } = body.phase
            && body.held_bytes <= bytes
        {
            if body.length == Length::Long {
                self.hold_time.record(now, since);
            }
            self.remove(key);
        }
    }

    /// Removes a body of which nothing is held any more.
    pub fn remove(&mut self, key: BodyKey) {
        if let Some(body) = self.bodies.remove(key) {
            self.used_bytes -= body.used_bytes();
            self.held_bytes -= body.held_bytes;
            self.held_by[body.organisation.0 as usize] -= body.held_bytes;
            self.watched.remove(&key);
        }
    }

    /// Returns the decisions on bodies that wait or are read too slowly, in the order of their rank.
    pub fn poll(&mut self, now: TimeMs) -> Vec<(BodyKey, Decision)> {
        let mut decisions = Vec::new();
        self.refuse_late(now, &mut decisions);
        self.refuse_overtaken(now, &mut decisions);
        for length in [Length::Short, Length::Long] {
            while let Some(key) = self.first_waiting(length) {
                if self.fits(now, key) {
                    self.update(key, |body| body.start(now));
                    decisions.push((key, Decision::Read));
                    continue;
                }
                for slow in self.slow_bodies_for(now, key) {
                    self.refuse_body(now, slow, RefusalReason::SlowCaller, &mut decisions);
                }
                break;
            }
        }
        if let Some(key) = self.deadlocked_body() {
            self.refuse_body(now, key, RefusalReason::NoRoom, &mut decisions);
        }
        decisions
    }

    /// Returns the bodies that are long or wait.
    pub(crate) fn watched(&self) -> impl Iterator<Item = (BodyKey, &Body)> {
        self.watched.iter().filter_map(|key| Some((*key, self.bodies.get(*key)?)))
    }

    /// Returns the place of a body in the order in which bodies get room: by rank, by what others of its
    /// organisation hold, and by arrival.
    pub(crate) fn order(&self, body: &Body) -> (u8, u64, TimeMs, u64) {
        let others_bytes = self.held_by[body.organisation.0 as usize] - body.held_bytes;
        (body.rank, others_bytes, body.arrived_at, body.sequence)
    }

    /// Returns the bytes that are kept free for the rest of bodies that are read.
    pub(crate) fn claimed_bytes(&self, now: TimeMs) -> u64 {
        self.watched().map(|(_, body)| body.claimed_bytes(now)).sum()
    }

    /// Returns the bytes that bodies of a length may use.
    pub(crate) fn limit_of(&self, length: Length) -> u64 {
        match length {
            Length::Short => self.limit_bytes,
            Length::Long => self.limit_bytes - self.limit_bytes / SHORT_DIVISOR,
        }
    }

    /// Goes on with a body that has turned out to be long.
    fn grow(&mut self, now: TimeMs, key: BodyKey) -> Decision {
        self.update(key, |body| {
            body.length = Length::Long;
            body.phase = Phase::Waiting;
        });
        self.start_or_wait(now, key)
    }

    /// Lets a body be read if there is room and none before it waits.
    fn start_or_wait(&mut self, now: TimeMs, key: BodyKey) -> Decision {
        self.update(key, |body| body.phase = Phase::Waiting);
        let length = self.bodies.get(key).map_or(Length::Short, |body| body.length);
        if self.first_waiting(length) == Some(key) && self.fits(now, key) {
            self.update(key, |body| body.start(now));
            return Decision::Read;
        }
        match self.refusal_of_wait(now, key) {
            None => {
                self.update(key, |body| body.has_waited = true);
                self.is_overtaken |= self.last_waiting(length) != Some(key);
                Decision::Wait
            }
            Some(refusal) => {
                self.update(key, |body| body.phase = Phase::Refused);
                Decision::Refuse(refusal)
            }
        }
    }

    /// Whether there is room for the rest of a body beside the claims of others.
    fn fits(&self, now: TimeMs, key: BodyKey) -> bool {
        let Some(body) = self.bodies.get(key) else { return false };
        let claimed = self.claimed_bytes(now) - body.claimed_bytes(now);
        self.used_bytes + claimed + body.missing_bytes() <= self.limit_of(body.length)
    }

    fn first_waiting(&self, length: Length) -> Option<BodyKey> {
        let waiting = self.waiting_of(length);
        Some(waiting.min_by_key(|(_, body)| self.order(body))?.0)
    }

    fn last_waiting(&self, length: Length) -> Option<BodyKey> {
        let waiting = self.waiting_of(length);
        Some(waiting.max_by_key(|(_, body)| self.order(body))?.0)
    }

    fn waiting_of(&self, length: Length) -> impl Iterator<Item = (BodyKey, &Body)> {
        self.watched()
            .filter(move |(_, body)| body.phase == Phase::Waiting && body.length == length)
    }

    /// Refuses the last of the waiting bodies if later arrivals that precede them make them late.
    fn refuse_overtaken(&mut self, now: TimeMs, decisions: &mut Vec<(BodyKey, Decision)>) {
        if !std::mem::take(&mut self.is_overtaken) {
            return;
        }
        for length in [Length::Short, Length::Long] {
            while let Some(key) = self.last_waiting(length) {
                let Some(refusal) = self.refusal_of_wait(now, key) else { break };
                self.update(key, |body| body.phase = Phase::Refused);
                decisions.push((key, Decision::Refuse(refusal)));
            }
        }
    }

    /// Refuses the waiting bodies that can no longer be answered in time.
    fn refuse_late(&mut self, now: TimeMs, decisions: &mut Vec<(BodyKey, Decision)>) {
        let waiting = self.watched().filter(|(_, body)| body.phase == Phase::Waiting);
        let late = waiting.filter(|(_, body)| self.gives_up_at(body) <= now);
        let late: Vec<BodyKey> = late.map(|(key, _)| key).collect();
        for key in late {
            self.refuse_body(now, key, RefusalReason::WaitedTooLong, decisions);
        }
    }

    fn refuse_body(
        &mut self,
        now: TimeMs,
        key: BodyKey,
        reason: RefusalReason,
        decisions: &mut Vec<(BodyKey, Decision)>,
    ) {
        let Some(body) = self.bodies.get(key).copied() else { return };
        let refusal: BodyRefusal = self.refuse(now, &body, reason);
        self.update(key, |body| body.phase = Phase::Refused);
        decisions.push((key, Decision::Refuse(refusal)));
    }

    /// Changes a body, and the bytes that all bodies use with it.
    fn update<T: Default>(&mut self, key: BodyKey, change: impl FnOnce(&mut Body) -> T) -> T {
        let Some(body) = self.bodies.get_mut(key) else { return T::default() };
        let (used_before, held_before) = (body.used_bytes(), body.held_bytes);
        let changed = change(body);
        self.used_bytes = self.used_bytes - used_before + body.used_bytes();
        self.held_bytes = self.held_bytes - held_before + body.held_bytes;
        let held_by = &mut self.held_by[body.organisation.0 as usize];
        *held_by = *held_by - held_before + body.held_bytes;
        match body.length == Length::Long || body.phase == Phase::Waiting {
            true => self.watched.insert(key),
            false => self.watched.remove(&key),
        };
        changed
    }
}
