use celeryhaven_queue::QueueEntry;
use celeryhaven_types::{Idempotency, RefusalCode, RequestHead, TimeMs};

use crate::fair::admission::starts_in_time;
use crate::fair::request::RequestState;
use crate::fair::{ClassKey, FairPolicy};
use crate::interface::{Decision, Ticket};
use crate::overload::RETURN_DIVISOR_LEAST;

/// The least urgent rank; priorities count the other way.
const RANK_LAST: u8 = 9;

/// First tier of late requests, after the ranks of the timely ones.
const LATE_TIER: u8 = RANK_LAST + 1;

/// Time that a refusal and a return take besides the time that the caller is told to wait.
const ROUND_TRIP_MS: u64 = 20;

impl FairPolicy {
    /// Whether the overload control applies to a request: a repeatable one for an engine.
    pub(crate) fn is_governed(&self, class: ClassKey, head: &RequestHead) -> bool {
        let has_window = self.classes[class.get() as usize].window.is_some();
        has_window && head.idempotency == Idempotency::Idempotent
    }

    /// Returns the tier of a request: timely ones by rank, then late ones by rank.
    pub(crate) fn tier(&self, request: &RequestState) -> u8 {
        let class = &self.classes[request.class.get() as usize];
        if class.window.is_none() {
            return 0;
        }
        let rank = RANK_LAST.saturating_sub(request.priority.get());
        if request.is_late { LATE_TIER + rank } else { rank }
    }

    /// Queues a request that the overload control applies to, or refuses it.
    ///
    /// A timely request waits until it can no longer begin in time, and is late from then on. A late
    /// one waits if that is expected to be shorter than a refusal and a return.
    pub(crate) fn enqueue_governed(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        out: &mut Vec<Decision>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let class_key = request.class;
        let mut entry = self.queue_entry(request);
        if !request.is_late && entry.latest_start < now {
            self.set_late(now, ticket);
            let Some(request) = self.requests.get(&ticket) else { return };
            entry = self.queue_entry(request);
        }
        if is_late(&entry) {
            let queue_wait_ms = self.wait_ms(now, class_key, &entry);
            let window = self.classes[class_key.get() as usize].window.as_ref();
            let engine_wait_ms = window.map_or(0.0, |window| window.late_wait_ms(now));
            if !starts_in_time(now, queue_wait_ms.max(engine_wait_ms), entry.latest_start) {
                return self.refuse_queued(now, ticket, &entry, RefusalCode::Overloaded, out);
            }
        }
        match self.class(class_key).queue.push(ticket, entry) {
            Ok(()) => self.schedule_shed(now, class_key),
            Err(_) => self.refuse_queued(now, ticket, &entry, RefusalCode::Overloaded, out),
        }
    }

    /// Handles a queued request whose latest start has passed.
    pub(crate) fn resolve_overdue(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        entry: &QueueEntry,
        out: &mut Vec<Decision>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if !request.is_governed {
            let code = RefusalCode::DeadlineUnreachable;
            return self.refuse_queued(now, ticket, entry, code, out);
        }
        let (class_key, waits_since) = (request.class, request.waits_since);
        if !request.is_late {
            return self.enqueue_governed(now, ticket, out);
        }
        if let Some(window) = &mut self.class(class_key).window {
            window.late_refused(now, waits_since);
        }
        self.refuse_queued(now, ticket, entry, RefusalCode::Overloaded, out);
    }

    /// Returns until when it pays a late request to wait rather than to be refused and to return.
    pub(crate) fn late_until(request: &RequestState) -> TimeMs {
        let left_ms = request.deadline.since(request.waits_since);
        request.waits_since.after(left_ms / RETURN_DIVISOR_LEAST + ROUND_TRIP_MS)
    }

    fn set_late(&mut self, now: TimeMs, ticket: Ticket) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.is_late = true;
            request.waits_since = now;
        }
    }
}

/// Whether an entry is in the late band.
pub(crate) fn is_late(entry: &QueueEntry) -> bool {
    entry.tier >= LATE_TIER
}
