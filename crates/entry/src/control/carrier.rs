use std::net::SocketAddr;
use std::sync::Arc;

use celeryhaven_node::{EntryAction, EntryEvent};
use celeryhaven_policy::Ticket;
use celeryhaven_store::StoreClient;
use celeryhaven_types::{Incarnation, Refusal, RefusalCode};

use crate::control::reads::Reader;
use crate::control::{Calls, ControlHandle};
use crate::exchange::{AnswerPart, KeptAnswers, Registry};
use crate::forward::{Forwarder, Target};
use crate::peer::Peers;

/// Carries out what the state machine wants; waits for nothing itself.
///
/// Requests go to the traffic threads. Calls to the Object API, polls and messages to peers go to
/// an executor of their own, so that they are not behind callers' requests.
#[derive(Clone)]
pub(crate) struct Carrier {
    pub(crate) control: ControlHandle,
    pub(crate) registry: Arc<Registry>,
    pub(crate) kept: Arc<KeptAnswers>,
    pub(crate) forwarder: Forwarder,
    pub(crate) store: StoreClient,
    pub(crate) reader: Reader,
    pub(crate) peers: Peers,
    pub(crate) calls: Calls,
}

impl Carrier {
    /// Begins an action.
    pub(crate) fn carry_out(&self, action: EntryAction) {
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
            EntryAction::Delegate { ticket, to, address } => self.pass_on(ticket, to, address),
            EntryAction::Replay { ticket, of } => self.replay(ticket, of),
            EntryAction::Forget { ticket } => self.kept.forget(ticket),
            EntryAction::Poll { vm, address } => self.reader.poll(vm, address),
            EntryAction::ReadVmList => self.reader.read_vm_list(),
            EntryAction::SendPeer { address, message } => self.peers.send(address, &message),
            EntryAction::Store { call, request } => {
                let (store, control) = (self.store.clone(), self.control.clone());
                let calls = self.calls.clone();
                smol::spawn(async move {
                    let reply = store.call(&request).await;
                    calls.count_store(&reply);
                    control.control(EntryEvent::Store { call, reply });
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

    fn pass_on(&self, ticket: Ticket, to: Incarnation, address: SocketAddr) {
        if let Some(exchange) = self.registry.get(ticket) {
            self.forwarder.metrics.delegated.inc();
            self.peers.pass_on(exchange, to, address);
        }
    }

    /// Gives a request the kept answer of another one with its key.
    fn replay(&self, ticket: Ticket, of: Ticket) {
        let Some(exchange) = self.registry.get(ticket) else { return };
        let Some(answer) = self.kept.get(of) else {
            return exchange.refuse(Refusal::may_have_run(RefusalCode::AnswerLost));
        };
        async_global_executor::spawn(async move {
            exchange.deliver(AnswerPart::Head(answer.head)).await;
            exchange.deliver(AnswerPart::Data(answer.body)).await;
            exchange.finish_unkept();
        })
        .detach();
    }
}
