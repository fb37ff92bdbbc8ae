use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use celeryhaven_node::EntryEvent;
use celeryhaven_types::{Refusal, RefusalCode};

use crate::control::Message;

/// Traffic messages per batch; bounds how long a burst of requests delays control messages.
const TRAFFIC_BATCH_MAX: usize = 64;

/// Queue of messages for the control thread; control messages go before traffic messages.
///
/// Uses a condition variable, because an executor may be busy with traffic.
#[derive(Default)]
pub(crate) struct Mailbox {
    queues: Mutex<Queues>,
    not_empty: Condvar,
}

#[derive(Default)]
struct Queues {
    control: VecDeque<Message>,
    traffic: VecDeque<Message>,
    closed: bool,
}

impl Mailbox {
    /// Adds a control message.
    pub(crate) fn push_control(&self, message: Message) {
        self.push(message, |queues| &mut queues.control);
    }

    /// Adds a traffic message.
    pub(crate) fn push_traffic(&self, message: Message) {
        self.push(message, |queues| &mut queues.traffic);
    }

    /// Takes all control messages and a batch of traffic messages; waits while there are none.
    pub(crate) fn take(&self, wait: Option<Duration>, out: &mut Vec<Message>) {
        let mut queues = self.lock();
        if queues.is_empty() {
            queues = self.wait(queues, wait);
        }
        out.extend(queues.control.drain(..));
        let batch = queues.traffic.len().min(TRAFFIC_BATCH_MAX);
        out.extend(queues.traffic.drain(..batch));
    }

    /// Closes the mailbox and drops its messages, after the control thread has stopped.
    ///
    /// Dropping a query closes its reply channel, so that its sender does not wait indefinitely.
    /// New requests are refused as not run.
    pub(crate) fn close(&self) {
        let mut queues = self.lock();
        queues.closed = true;
        let control = std::mem::take(&mut queues.control);
        let traffic = std::mem::take(&mut queues.traffic);
        drop(queues);
        control.into_iter().chain(traffic).for_each(reject);
    }

    fn push(&self, message: Message, queue: fn(&mut Queues) -> &mut VecDeque<Message>) {
        let mut queues = self.lock();
        if queues.closed {
            drop(queues);
            return reject(message);
        }
        queue(&mut queues).push_back(message);
        self.not_empty.notify_one();
    }

    fn wait<'a>(
        &self,
        queues: MutexGuard<'a, Queues>,
        wait: Option<Duration>,
    ) -> MutexGuard<'a, Queues> {
        match wait {
            None => self.not_empty.wait(queues).unwrap_or_else(PoisonError::into_inner),
            Some(wait) => {
                let waited = self.not_empty.wait_timeout(queues, wait);
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queues> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Queues {
    fn is_empty(&self) -> bool {
        self.control.is_empty() && self.traffic.is_empty()
    }
}

fn reject(message: Message) {
    if let Message::Event { event: EntryEvent::Arrived { .. }, exchange: Some(exchange) } = message
    {
        exchange.refuse(Refusal::not_run(RefusalCode::NodeUnavailable));
    }
}
