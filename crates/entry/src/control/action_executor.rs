use std::net::SocketAddr;
use std::sync::Arc;

use celeryhaven_node::{EntryAction, EntryEvent};
use celeryhaven_policy::Ticket;
use celeryhaven_store::StoreClient;
use celeryhaven_types::{Incarnation, Refusal, RefusalCode};

use crate::control::reads::Reader;
use crate::control::{Calls, ControlHandle};
use crate::exchange::{AnswerCache, AnswerPart, Registry};
use crate::forward::{Forwarder, Target};
use crate::peer::Peers;

/// Executes the actions of the state machine without blocking.
///
/// Requests run on the traffic threads. Calls to the Object API, polls and messages to peers run on
/// a separate executor, so that they do not queue behind callers' requests.
#[derive(Clone)]
pub(crate) struct ActionExecutor {
    pub(crate) control: ControlHandle,
    pub(crate) registry: Arc<Registry>,
    pub(crate) answers: Arc<AnswerCache>,
    pub(crate) forwarder: Forwarder,
    pub(crate) store: StoreClient,
    pub(crate) reader: Reader,
    pub(crate) peers: Peers,
    pub(crate) calls: Calls,
}

impl ActionExecutor {
    /// Starts an action.
    pub(crate) fn execute(&self, action: EntryAction) {
        match action {
            EntryAction::Dispatch {
                ticket,
                attempt,
                address,
                replica,
                send_before,
                resume_from,
            } => {
                if let Some(exchange) = self.registry.get(ticket) {
                    let target = Target { address, replica, send_before, resume_from };
                    self.forwarder.begin(exchange, attempt, target);
                }
            }
            EntryAction::CancelAttempt { ticket, attempt } => {
                if let Some(exchange) = self.registry.get(ticket) {
                    exchange.cancel_attempt(attempt);
                }
            }
            EntryAction::Refuse { ticket, refusal } => self.refuse(ticket, refusal),
            EntryAction::Delegate { ticket, to, address } => self.delegate(ticket, to, address),
            EntryAction::Replay { ticket, of } => self.replay(ticket, of),
            EntryAction::Forget { ticket } => self.answers.remove(ticket),
            EntryAction::Poll { vm, address } => self.reader.poll(vm, address),
            EntryAction::ReadVmList => self.reader.read_vm_list(),
            EntryAction::SendPeer { address, message } => self.peers.send(address, &message),
            EntryAction::Store { call, request } => {
                let (store, control) = (self.store.clone(), self.control.clone());
                let calls = self.calls.clone();
                smol::spawn(async move {
                    let reply = store.call(&request).await;
                    calls.count_store(&reply);
                    control.send_control(EntryEvent::Store { call, reply });
                })
                .detach();
            }
            EntryAction::Left => {}
        }
    }

    fn refuse(&self, ticket: Ticket, refusal: Refusal) {
        if let Some(exchange) = self.registry.get(ticket) {
            exchange.refuse(refusal);
        }
    }

    fn delegate(&self, ticket: Ticket, to: Incarnation, address: SocketAddr) {
        if let Some(exchange) = self.registry.get(ticket) {
            self.forwarder.metrics.delegated.inc();
            self.peers.delegate(exchange, to, address);
        }
    }

    /// Answers a request with the cached answer of an earlier one with the same key.
    fn replay(&self, ticket: Ticket, of: Ticket) {
        let Some(exchange) = self.registry.get(ticket) else { return };
        let Some(answer) = self.answers.get(of) else {
            return exchange.refuse(Refusal::may_have_run(RefusalCode::AnswerLost));
        };
        async_global_executor::spawn(async move {
            exchange.deliver(AnswerPart::Head(answer.head)).await;
            exchange.deliver(AnswerPart::Data(answer.body)).await;
            exchange.finish_uncached();
        })
        .detach();
    }
}
