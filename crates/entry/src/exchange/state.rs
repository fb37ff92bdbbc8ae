use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use celeryhaven_node::Attempt;
use celeryhaven_policy::Ticket;
use celeryhaven_types::{Idempotency, Refusal, RequestHead, TimeMs};

use crate::exchange::{AnswerCache, AnswerPart, CachedAnswer, End, ForwardRequest, Registry};

/// Answer parts buffered for the caller; a full buffer applies backpressure to the target.
const PENDING_PARTS_MAX: usize = 64;

/// Maximum size of an answer recorded for a repeated key, in bytes.
///
/// A repeated key without a recorded answer gets "may have run".
const RECORDED_BYTES_MAX: usize = 1 << 20;

/// A request, shared by its caller's task, the control thread and its attempts.
pub(crate) struct Exchange {
    ticket: Ticket,
    /// The request as sent to a target.
    pub(crate) request: ForwardRequest,
    /// The request as the control thread sees it.
    pub(crate) head: RequestHead,
    /// Idempotency key of the caller.
    pub(crate) key: Option<String>,
    /// Time of arrival.
    pub(crate) arrived_at: TimeMs,
    registry: Arc<Registry>,
    parts: Sender<AnswerPart>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    end: Option<End>,
    running: Option<Running>,
    dispatched: bool,
    head_claimed: bool,
    recorded: Option<Vec<AnswerPart>>,
    recorded_bytes: usize,
}

struct Running {
    attempt: Attempt,
    cancel: Sender<()>,
}

impl Exchange {
    /// Creates an exchange and its answer channel; [`Exchange::end`] is set when that closes.
    pub(crate) fn new(
        registry: Arc<Registry>,
        arrived_at: TimeMs,
        request: ForwardRequest,
        head: RequestHead,
        key: Option<String>,
    ) -> (Arc<Self>, Receiver<AnswerPart>) {
        let (parts, received) = async_channel::bounded(PENDING_PARTS_MAX);
        let guarded = key.is_some() && head.idempotency == Idempotency::NonIdempotent;
        let recorded = guarded.then(Vec::new);
        let state = Mutex::new(State { recorded, ..State::default() });
        let ticket = registry.next_ticket();
        let exchange = Self { ticket, request, head, key, arrived_at, registry, parts, state };
        let exchange = Arc::new(exchange);
        exchange.registry.insert(&exchange);
        (exchange, received)
    }

    pub(crate) fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Forwards an answer part to the caller; waits while the buffer is full.
    ///
    /// Parts for a disconnected caller are still recorded for a repeated key.
    pub(crate) async fn deliver(&self, part: AnswerPart) {
        self.record(&part);
        let _ = self.parts.send(part).await;
    }

    /// Whether the head is still to be delivered; true once.
    ///
    /// A stream that is resumed at another target already has its head.
    pub(crate) fn claim_head(&self) -> bool {
        !std::mem::replace(&mut self.lock().head_claimed, true)
    }

    /// Completes the answer, and caches it if its key may be repeated.
    pub(crate) fn finish(&self, answers: &AnswerCache) {
        let recorded = self.lock().recorded.take();
        if let Some(answer) = recorded.and_then(CachedAnswer::of_parts) {
            answers.insert(self.ticket, answer);
        }
        self.end_with(End::Whole);
    }

    /// Completes the answer without caching it; another request or node has it cached.
    pub(crate) fn finish_uncached(&self) {
        self.end_with(End::Whole);
    }

    /// Ends the answer as refused or interrupted.
    pub(crate) fn refuse(&self, refusal: Refusal) {
        self.end_with(End::Refused(refusal));
    }

    /// Returns the result of the answer; `None` while it is active.
    pub(crate) fn end(&self) -> Option<End> {
        self.lock().end.clone()
    }

    /// Records the running attempt; returns its cancel signal.
    pub(crate) fn begin_attempt(&self, attempt: Attempt) -> Receiver<()> {
        let (cancel, cancelled) = async_channel::bounded(1);
        let mut state = self.lock();
        state.running = Some(Running { attempt, cancel });
        state.dispatched = true;
        cancelled
    }

    /// Whether an attempt has been made.
    pub(crate) fn was_dispatched(&self) -> bool {
        self.lock().dispatched
    }

    /// Cancels an attempt if it is running.
    pub(crate) fn cancel_attempt(&self, attempt: Attempt) {
        let state = self.lock();
        let running = state.running.as_ref().filter(|running| running.attempt == attempt);
        if let Some(running) = running {
            let _ = running.cancel.try_send(());
        }
    }

    fn record(&self, part: &AnswerPart) {
        let mut state = self.lock();
        if let AnswerPart::Data(data) = part {
            state.recorded_bytes += data.len();
        }
        if state.recorded_bytes > RECORDED_BYTES_MAX {
            state.recorded = None;
        }
        if let Some(recorded) = state.recorded.as_mut() {
            recorded.push(part.clone());
        }
    }

    fn end_with(&self, end: End) {
        self.lock().end.get_or_insert(end);
        self.parts.close();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.registry.remove(self.ticket);
    }
}
