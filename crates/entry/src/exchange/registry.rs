use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use celeryhaven_policy::Ticket;
use celeryhaven_types::Map;

use crate::exchange::Exchange;

/// All exchanges of this process by ticket, as weak references.
///
/// An exchange is dropped with its last owner: its caller, an attempt or a control message.
#[derive(Default)]
pub(crate) struct Registry {
    last: AtomicU64,
    exchanges: Mutex<Map<Ticket, Weak<Exchange>>>,
}

impl Registry {
    /// Returns a ticket that is unique in this process.
    pub(crate) fn next_ticket(&self) -> Ticket {
        Ticket::new(self.last.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Adds an exchange.
    pub(crate) fn insert(&self, exchange: &Arc<Exchange>) {
        self.lock().insert(exchange.ticket(), Arc::downgrade(exchange));
    }

    /// Returns the exchange of a ticket, if it is still alive.
    pub(crate) fn get(&self, ticket: Ticket) -> Option<Arc<Exchange>> {
        self.lock().get(&ticket)?.upgrade()
    }

    pub(crate) fn remove(&self, ticket: Ticket) {
        self.lock().remove(&ticket);
    }

    fn lock(&self) -> MutexGuard<'_, Map<Ticket, Weak<Exchange>>> {
        self.exchanges.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
