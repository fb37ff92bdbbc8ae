use std::collections::{BTreeMap, BTreeSet, VecDeque};

use celeryhaven_types::TimeMs;

use crate::estimate::RecentMean;
use crate::interface::Ticket;

/// Window in even shares while the engines are not full: callers are spread unevenly over nodes.
const RELAXED_SHARES: f64 = 2.0;

/// Least window in even shares: with less, engines stood idle at the end of a surge.
const FLOOR_SHARES: f64 = 0.75;

/// Requests in flight, in even shares, from which a node sends no late ones.
///
/// At the whole share, late requests left no free slot to the first tries of other nodes: of those at the
/// usual load after a surge, 0.84 were in time rather than 0.92.
const LATE_SHARES: f64 = 0.7;

/// Factor by which a window of at most the even share shrinks.
const SHRINK_FACTOR: f64 = 0.85;

/// Growth for each timely start while the window is in use, in requests: below the even share, and above
/// it for each share.
///
/// Below the share it recovers within 2 s of a surge. Above it, 1.0 lost a tenth of the
/// answers in time in a surge of three times the capacity.
const RECOVERY_PER_START: f64 = 2.0;
const GROWTH_PER_START: f64 = 0.25;

/// One in this many recent starts may be late before the window shrinks.
const LATE_STARTS_ONE_IN: usize = 10;

/// Least late starts that shrink the window: one alone may be due to a long prompt.
const LATE_STARTS_MIN: usize = 2;

/// Bounds of the recent starts by number and age.
const RECENT_STARTS: usize = 20;
const RECENT_MS: u64 = 2_000;

/// Least window in even shares after that time without late starts, also while engines are full.
const CALM_SHARES: f64 = 1.15;

/// Time since the window shrank after which it is relaxed, in milliseconds.
const RELAX_AFTER_MS: u64 = 1_000;

/// Reported utilisation below which the window is relaxed.
const RELAX_UTILISATION: f64 = 0.95;

/// Congestion window for the requests of a node in flight at the engines of a pool.
///
/// The load pattern is a surge of 1.6 to 3 times the usual load within a second, which the reports of
/// the engines show a second later. The window follows the times to the first event of timely requests:
/// it shrinks as soon as more than one in ten of them are longer than the engines may take, which
/// counts from their sending so that the wait in the node itself does not shrink it.
#[derive(Clone, Debug)]
pub(crate) struct StartWindow {
    /// In even shares of the slots.
    shares: f64,
    shrunk_at: Option<TimeMs>,
    /// Whether recent starts were late.
    recent: VecDeque<(TimeMs, bool)>,
    /// Timely requests without a first event: when they were sent, and when it is due.
    timely: BTreeMap<Ticket, (TimeMs, TimeMs)>,
    /// Late requests without a first event, and since when they have waited.
    late: BTreeMap<Ticket, TimeMs>,
    /// Time that late requests have waited for their first event.
    late_wait_ms: RecentMean,
}

impl StartWindow {
    pub(crate) fn new() -> Self {
        Self {
            shares: RELAXED_SHARES,
            shrunk_at: None,
            recent: VecDeque::new(),
            timely: BTreeMap::new(),
            late: BTreeMap::new(),
            late_wait_ms: RecentMean::new(0.0),
        }
    }

    /// Requests that may be in flight, of the even share and of all slots; at least one.
    pub(crate) fn limit(&self, share: f64, slots: f64) -> f64 {
        (share * self.shares).min(slots).max(1.0)
    }

    /// Requests that may be in flight when a late one is sent.
    pub(crate) fn late_limit(&self, share: f64, slots: f64) -> f64 {
        self.limit(share, slots).min(share * LATE_SHARES).max(1.0)
    }

    /// Number of late requests in flight without a first event.
    pub(crate) fn late_unstarted(&self) -> u32 {
        self.late.len() as u32
    }

    /// Time that a late request is expected to wait, by those before it.
    pub(crate) fn late_wait_ms(&self, now: TimeMs) -> f64 {
        let oldest_ms = self.late.values().map(|since| now.since(*since)).max();
        oldest_ms.map_or(0.0, |oldest_ms| self.late_wait_ms.value().max(oldest_ms as f64))
    }

    pub(crate) fn sent_timely(&mut self, now: TimeMs, ticket: Ticket, allowed_ms: u64) {
        self.timely.insert(ticket, (now, now.after(allowed_ms)));
    }

    pub(crate) fn sent_late(&mut self, ticket: Ticket, waits_since: TimeMs) {
        self.late.insert(ticket, waits_since);
    }

    /// Records that a late request has waited in vain.
    pub(crate) fn late_refused(&mut self, now: TimeMs, waits_since: TimeMs) {
        self.late_wait_ms.add(now, now.since(waits_since) as f64);
    }

    /// Records a first event; `use_of` are the requests in flight and the even share.
    pub(crate) fn started(&mut self, now: TimeMs, ticket: Ticket, use_of: (f64, f64)) {
        if let Some(waits_since) = self.late.remove(&ticket) {
            self.late_wait_ms.add(now, now.since(waits_since) as f64);
        }
        let Some((sent_at, due)) = self.timely.remove(&ticket) else { return };
        self.record(now, sent_at, now > due, use_of);
    }

    /// Forgets a request that has ended.
    pub(crate) fn ended(&mut self, ticket: Ticket) {
        self.timely.remove(&ticket);
        self.late.remove(&ticket);
    }

    /// Counts the requests whose first event is overdue: their late starts would be known too late.
    pub(crate) fn count_overdue(&mut self, now: TimeMs, use_of: (f64, f64)) {
        let overdue = self.timely.iter().filter(|(_, (_, due))| *due < now);
        let overdue: BTreeSet<(TimeMs, Ticket)> =
            overdue.map(|(ticket, (sent_at, _))| (*sent_at, *ticket)).collect();
        for (sent_at, ticket) in overdue {
            self.timely.remove(&ticket);
            self.record(now, sent_at, true, use_of);
        }
    }

    /// Relaxes the window if it has not shrunk lately, the more if the engines are not full.
    pub(crate) fn relax(&mut self, now: TimeMs, utilisation: f64) {
        let is_calm = self.shrunk_at.is_none_or(|at| now.since(at) >= RELAX_AFTER_MS);
        if is_calm {
            let is_full = utilisation >= RELAX_UTILISATION;
            self.shares = self.shares.max(if is_full { CALM_SHARES } else { RELAXED_SHARES });
        }
    }

    fn record(&mut self, now: TimeMs, sent_at: TimeMs, is_late: bool, use_of: (f64, f64)) {
        // What was sent before the window shrank says nothing of the new one.
        if self.shrunk_at.is_some_and(|at| sent_at < at) {
            return;
        }
        while self.recent.len() >= RECENT_STARTS
            || self.recent.front().is_some_and(|(at, _)| now.since(*at) > RECENT_MS)
        {
            self.recent.pop_front();
        }
        self.recent.push_back((now, is_late));
        let late = self.recent.iter().filter(|(_, is_late)| *is_late).count();
        let (in_flight, share) = (use_of.0, use_of.1.max(f64::EPSILON));
        let used_shares = in_flight / share;
        if late >= LATE_STARTS_MIN && late * LATE_STARTS_ONE_IN > self.recent.len() {
            let used_shares = self.shares.min(used_shares.max(1.0));
            let shrunk = match used_shares > 1.0 {
                true => (used_shares / 2.0).max(1.0),
                false => used_shares * SHRINK_FACTOR,
            };
            self.shares = shrunk.max(FLOOR_SHARES);
            self.shrunk_at = Some(now);
            self.recent.clear();
        } else if !is_late && late * LATE_STARTS_ONE_IN <= self.recent.len() {
            // A window that is not in use would grow without bound.
            let is_used = used_shares >= self.shares * 0.8;
            let growth = match self.shares < 1.0 {
                true => RECOVERY_PER_START,
                false => GROWTH_PER_START / self.shares,
            };
            self.shares += if is_used { growth / share } else { 0.0 };
        }
    }
}
