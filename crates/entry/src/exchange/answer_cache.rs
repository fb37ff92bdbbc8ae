use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use celeryhaven_policy::Ticket;
use celeryhaven_types::Map;

use crate::exchange::{AnswerHead, AnswerPart};

/// A complete answer, cached for a repeated key.
#[derive(Clone, Debug)]
pub(crate) struct CachedAnswer {
    pub(crate) head: AnswerHead,
    pub(crate) body: Vec<u8>,
}

impl CachedAnswer {
    /// Joins the parts of a complete answer; `None` if it has no head.
    pub(crate) fn of_parts(parts: Vec<AnswerPart>) -> Option<Self> {
        let mut parts = parts.into_iter();
        let Some(AnswerPart::Head(head)) = parts.next() else { return None };
        let data = parts.filter_map(|part| match part {
            AnswerPart::Data(data) => Some(data),
            AnswerPart::Head(_) => None,
        });
        Some(Self { head, body: data.flatten().collect() })
    }
}

/// Cache of the answers to keyed requests, bounded in bytes; evicts the oldest first.
///
/// A repeated key whose answer was evicted gets "may have run" and never a second run.
pub(crate) struct AnswerCache {
    limit_bytes: usize,
    state: Mutex<CacheState>,
}

#[derive(Default)]
struct CacheState {
    answers: Map<Ticket, CachedAnswer>,
    order: VecDeque<Ticket>,
    bytes: usize,
}

impl AnswerCache {
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, state: Mutex::default() }
    }

    /// Adds an answer and evicts the oldest beyond the limit.
    pub(crate) fn insert(&self, ticket: Ticket, answer: CachedAnswer) {
        let mut state = self.lock();
        state.bytes += answer.body.len();
        state.answers.insert(ticket, answer);
        state.order.push_back(ticket);
        while state.bytes > self.limit_bytes {
            let Some(oldest) = state.order.pop_front() else { break };
            state.evict(oldest);
        }
    }

    /// Returns the cached answer of a request.
    pub(crate) fn get(&self, ticket: Ticket) -> Option<CachedAnswer> {
        self.lock().answers.get(&ticket).cloned()
    }

    /// Removes an answer.
    pub(crate) fn remove(&self, ticket: Ticket) {
        let mut state = self.lock();
        state.evict(ticket);
        state.order.retain(|other| *other != ticket);
    }

    fn lock(&self) -> MutexGuard<'_, CacheState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CacheState {
    fn evict(&mut self, ticket: Ticket) {
        if let Some(answer) = self.answers.remove(&ticket) {
            self.bytes -= answer.body.len();
        }
    }
}
