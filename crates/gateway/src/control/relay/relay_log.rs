use std::cell::{Cell, RefCell};

use async_channel::{Receiver, Sender, bounded};
use celeryhaven_clock::BootClock;
use celeryhaven_fleet::{ChangeLog, RelayAnswer};

use crate::control::relay::relay_request::{RelayRequest, WaitFor};

/// Objects of one kind that this node keeps for its followers.
#[derive(Debug, Default)]
pub(super) struct RelayLog {
    pub(super) log: RefCell<ChangeLog>,
    waiters: RefCell<Vec<Sender<()>>>,
}

impl RelayLog {
    pub(super) fn wake(&self) {
        // Dropping the senders wakes the receivers.
        self.waiters.borrow_mut().clear();
    }

    fn register_waiter(&self) -> Receiver<()> {
        let (sender, woken) = bounded(1);
        self.waiters.borrow_mut().push(sender);
        woken
    }

    /// Waits until the request can be answered, or this node has lost its sources.
    pub(super) async fn answer(&self, request: &RelayRequest, is_lost: &Cell<bool>) -> RelayAnswer {
        loop {
            if is_lost.get() {
                return RelayAnswer::Stale;
            }
            let new = match self.has_contact() {
                true => self.log.borrow().changes_since(BootClock.now(), request.from),
                // A relay that has just started receives its first update shortly.
                false => None,
            };
            if let Some(answer) = new {
                return answer;
            }
            self.register_waiter().recv().await.unwrap_or_default();
            if request.wait_for == WaitFor::Contact && !is_lost.get() {
                return self.unchanged(request);
            }
        }
    }

    fn has_contact(&self) -> bool {
        self.log.borrow().has_contact()
    }

    /// Returns an answer without changes.
    pub(super) fn unchanged(&self, request: &RelayRequest) -> RelayAnswer {
        let from = request.from.unwrap_or_default();
        self.log.borrow().empty_answer(BootClock.now(), from)
    }
}
