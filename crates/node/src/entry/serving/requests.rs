use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_policy::Ticket;
use celeryhaven_types::TimeMs;

use crate::entry::serving::Request;

/// Active requests and their timers.
#[derive(Default)]
pub(crate) struct Requests {
    by_ticket: BTreeMap<Ticket, Request>,
    timers: BTreeSet<(TimeMs, Ticket)>,
}

impl Requests {
    pub(crate) fn len(&self) -> usize {
        self.by_ticket.len()
    }

    pub(crate) fn contains(&self, ticket: Ticket) -> bool {
        self.by_ticket.contains_key(&ticket)
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<&Request> {
        self.by_ticket.get(&ticket)
    }

    pub(crate) fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Request> {
        self.by_ticket.get_mut(&ticket)
    }

    pub(crate) fn insert(&mut self, ticket: Ticket, request: Request) {
        self.by_ticket.insert(ticket, request);
    }

    /// Removes a request that has its final answer.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Request> {
        self.by_ticket.remove(&ticket)
    }

    /// Schedules a ticket for [`Requests::take_due`].
    pub(crate) fn set_timer(&mut self, at: TimeMs, ticket: Ticket) {
        self.timers.insert((at, ticket));
    }

    /// Returns when the next timer is due.
    pub(crate) fn next_wake(&self) -> Option<TimeMs> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Removes and returns a ticket whose timer is due.
    pub(crate) fn take_due(&mut self, now: TimeMs) -> Option<Ticket> {
        let due = self.next_wake()? <= now;
        if due { self.timers.pop_first().map(|(_, ticket)| ticket) } else { None }
    }
}
