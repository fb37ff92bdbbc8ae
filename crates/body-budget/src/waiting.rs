use celeryhaven_types::TimeMs;

use crate::body::{Body, BodyKey, Length, Phase};
use crate::body_budget::BodyBudget;
use crate::decision::{BodyRefusal, RefusalReason};

/// Least retry delay that is suggested, in milliseconds; other nodes may have room.
const RETRY_AFTER_MS_MIN: u64 = 200;

/// Part of the time that a caller has left after which it does not come back, as a divisor.
const RETURN_DIVISOR: u64 = 3;

/// How long bodies wait, and which waiting bodies stand still.
impl BodyBudget {
    /// Returns why a waiting body cannot be answered in time; `None` if it can.
    pub(crate) fn refusal_of_wait(&mut self, now: TimeMs, key: BodyKey) -> Option<BodyRefusal> {
        let body = self.bodies.get(key).copied()?;
        let ahead = self.watched().map(|(_, body)| body).filter(|other| {
            other.phase == Phase::Waiting
                && other.length == body.length
                && self.order(other) < self.order(&body)
        });
        let ahead_bytes: u64 = ahead.map(Body::missing_bytes).sum();
        let own_ms = self.own_ms(&body, body.deadline.since(now));
        let wait_ms = self.wait_ms(now, &body, ahead_bytes);
        if wait_ms.is_some_and(|ms| ms + own_ms <= body.deadline.since(now)) {
            return None;
        }
        Some(self.refuse(now, &body, RefusalReason::NoRoom))
    }

    /// Returns when a waiting body can no longer be answered in time.
    pub(crate) fn gives_up_at(&self, body: &Body) -> TimeMs {
        let allowed_ms = body.deadline.since(body.arrived_at);
        body.deadline.before(self.own_ms(body, allowed_ms))
    }

    /// Returns the expected time from when a body may be read until its request is answered, in
    /// milliseconds.
    fn own_ms(&self, body: &Body, allowed_ms: u64) -> u64 {
        let read_ms = if body.length == Length::Long { self.read_times.longest_ms() } else { 0 };
        let answer_ms = body.answer_ms.unwrap_or_else(|| self.hold_time.expected_ms(allowed_ms));
        read_ms + answer_ms
    }

    /// Makes the refusal of a body, whose caller comes back after those that were refused before.
    pub(crate) fn refuse(
        &mut self,
        now: TimeMs,
        body: &Body,
        reason: RefusalReason,
    ) -> BodyRefusal {
        let ahead =
            self.watched().map(|(_, body)| body).filter(|other| other.phase == Phase::Waiting);
        let ahead_bytes: u64 = ahead.map(Body::missing_bytes).sum();
        let returning_bytes = self.return_times.bytes_before(now, body.rank);
        let wait_ms = self.wait_ms(now, body, ahead_bytes + returning_bytes);
        let left_ms = body.deadline.since(now);
        let wait_ms = wait_ms.unwrap_or(left_ms).min(left_ms / RETURN_DIVISOR);
        let retry_after_ms = wait_ms.max(RETRY_AFTER_MS_MIN);
        self.return_times.record(now.after(retry_after_ms), body.rank, body.missing_bytes());
        BodyRefusal { reason, retry_after_ms }
    }

    /// Returns the expected time until there is room for a body after `ahead_bytes` of others, in
    /// milliseconds; `None` if even the end of all others would not make enough.
    fn wait_ms(&self, now: TimeMs, body: &Body, ahead_bytes: u64) -> Option<u64> {
        let limit = self.limit_of(body.length);
        if body.missing_bytes() > limit {
            return None;
        }
        let wanted = self.used_bytes + self.claimed_bytes(now) + ahead_bytes + body.missing_bytes();
        let mut missing = wanted.saturating_sub(limit);
        let mut releases: Vec<(u64, u64)> = self
            .watched()
            .map(|(_, body)| body)
            .filter_map(|other| {
                let left_ms = match other.phase {
                    Phase::Waiting => return None,
                    Phase::Refused => 0,
                    Phase::Held { since } => self.hold_time.left_ms(now, since, other.deadline),
                    Phase::Reading => self.hold_time.expected_ms(other.deadline.since(now)),
                };
                Some((left_ms, other.used_bytes() + other.claimed_bytes(now)))
            })
            .collect();
        releases.sort_unstable();
        let cycle_ms = releases.last().map_or(0, |(left_ms, _)| *left_ms);
        let mut wait_ms = 0;
        for (left_ms, bytes) in releases {
            if missing == 0 {
                break;
            }
            wait_ms = left_ms;
            missing = missing.saturating_sub(bytes);
        }
        // What comes before it fills the room again, as often as this.
        Some(wait_ms + missing.div_ceil(limit.max(1)) * cycle_ms)
    }

    /// Returns the slow bodies whose refusal would make room for a waiting one, the slowest caller
    /// first; empty if it would not.
    pub(crate) fn slow_bodies_for(&self, now: TimeMs, key: BodyKey) -> Vec<BodyKey> {
        let Some(body) = self.bodies.get(key) else { return Vec::new() };
        let refused =
            self.watched().map(|(_, body)| body).filter(|other| other.phase == Phase::Refused);
        let freed: u64 = refused.map(Body::used_bytes).sum();
        let wanted = self.used_bytes + self.claimed_bytes(now) + body.missing_bytes();
        let mut missing = wanted.saturating_sub(self.limit_of(body.length) + freed);
        let mut slow: Vec<(BodyKey, Body)> = self
            .watched()
            .filter(|(_, other)| other.length == Length::Long && other.is_slow(now))
            .map(|(key, other)| (key, *other))
            .collect();
        // The least urgent and the latest first.
        slow.sort_unstable_by_key(|(_, other)| std::cmp::Reverse(self.order(other)));
        let mut chosen = Vec::new();
        for (key, other) in slow {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(other.used_bytes());
            chosen.push(key);
        }
        if missing == 0 { chosen } else { Vec::new() }
    }

    /// Returns the body to refuse if all long bodies wait for each other's room: the last in order
    /// that holds some, other than the first unless that is the only one.
    pub(crate) fn deadlocked_body(&self) -> Option<BodyKey> {
        let long = || self.watched().filter(|(_, body)| body.length == Length::Long);
        if long().any(|(_, body)| body.phase != Phase::Waiting) {
            return None;
        }
        let first = long().min_by_key(|(_, body)| self.order(body))?.0;
        let holds = long().filter(|(key, body)| *key != first && body.held_bytes > 0);
        Some(holds.max_by_key(|(_, body)| self.order(body)).map_or(first, |(key, _)| key))
    }
}
