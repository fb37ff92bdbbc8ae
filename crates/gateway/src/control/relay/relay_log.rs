use std::cell::{Cell, RefCell};

use async_channel::{Receiver, Sender, bounded};
use celeryhaven_clock::BootClock;
use celeryhaven_fleet::{ChangeLog, RelayAnswer};

use crate::control::relay::question::{Question, Until};

/// What this node keeps of one kind for those that follow it.
#[derive(Debug, Default)]
pub(super) struct RelayLog {
    pub(super) log: RefCell<ChangeLog>,
    /// Whether it was heard from the store itself.
    pub(super) is_direct: Cell<bool>,
    waiting: RefCell<Vec<Sender<()>>>,
}

impl RelayLog {
    pub(super) fn wake(&self) {
        // Dropping the senders ends the waits.
        self.waiting.borrow_mut().clear();
    }

    fn wait(&self) -> Receiver<()> {
        let (sender, woken) = bounded(1);
        self.waiting.borrow_mut().push(sender);
        woken
    }

    /// Waits for what a follower asks for.
    pub(super) async fn answer(&self, question: &Question) -> RelayAnswer {
        loop {
            if question.until == Until::Contact && !self.is_direct.get() {
                return RelayAnswer::Stale;
            }
            let new = match self.has_contact() {
                true => self.log.borrow().changes_since(BootClock.now(), question.from),
                // A relay that has just started hears of the store within moments.
                false => None,
            };
            if let Some(answer) = new {
                return answer;
            }
            self.wait().recv().await.unwrap_or_default();
            if question.until == Until::Contact && self.is_direct.get() {
                return self.nothing_new(question);
            }
        }
    }

    fn has_contact(&self) -> bool {
        self.log.borrow().has_contact()
    }

    /// The answer to a follower that has waited, or that asked to hear of the store.
    pub(super) fn nothing_new(&self, question: &Question) -> RelayAnswer {
        let from = question.from.unwrap_or_default();
        self.log.borrow().empty_answer(BootClock.now(), from)
    }
}
