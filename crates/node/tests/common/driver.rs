use std::collections::BTreeMap;

use celeryhaven_checks::{Answer, CallId, Observation, OperationId, Piece};
use celeryhaven_node::{Attempt, AttemptEvent, EntryAction, EntryEvent, EntryNode};
use celeryhaven_policy::Ticket;
use celeryhaven_types::{Refusal, RefusalCode, RequestHead, TimeMs};
use rand::Rng;

use super::events::{Event, Exchange, Outcome, Process, Step};
use super::policy::TestPolicy;
use super::world::World;

/// Maximum delay from a decision to the first byte.
const DRIVER_DELAY_MS: u64 = 6;
/// Timeout for connecting to a dead machine.
const CONNECT_TIMEOUT_MS: u64 = 100;

/// Response time of the VM list.
const VM_LIST_MS: u64 = 30;

/// The receiver of a ticket's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Origin {
    Call(CallId),
    Peer(Process, Ticket),
    Disconnected,
}

/// State of an attempt in the driver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendState {
    Pending,
    Cancelled,
    Sent,
    Completed,
}

/// Driver state of a request.
#[derive(Clone, Debug)]
pub struct RequestState {
    pub origin: Origin,
    pub operation: OperationId,
    pub pieces: u32,
    pub head: RequestHead,
    pub key: Option<String>,
    pub deadline_at: u64,
    pub delivered: Vec<Piece>,
    pub attempt: Option<(Attempt, SendState)>,
    pub finished: bool,
}

/// An entry process: its node and its driver.
pub struct FakeProcess {
    pub node: EntryNode<TestPolicy>,
    pub boot: celeryhaven_types::Boot,
    pub paused_until: u64,
    pub deferred: Vec<Event>,
    pub next_ticket: u64,
    pub tickets: BTreeMap<Ticket, RequestState>,
    pub cached: BTreeMap<Ticket, Answer>,
    pub has_left: bool,
}

impl World {
    /// Executes an action of a node.
    pub fn execute_action(&mut self, process: Process, action: EntryAction) {
        match action {
            EntryAction::Dispatch {
                ticket,
                attempt,
                address,
                replica,
                send_before,
                resume_from,
            } => {
                let delay_ms = self.rng.random_range(0..DRIVER_DELAY_MS);
                let Some(state) = self.request_state(process, ticket) else { return };
                state.attempt = Some((attempt, SendState::Pending));
                let exchange = Exchange {
                    process,
                    ticket,
                    attempt,
                    operation: state.operation,
                    pieces: state.pieces,
                    address,
                    replica,
                    send_before,
                    resume_from,
                    deadline_at: state.deadline_at,
                };
                self.schedule(delay_ms, Event::DriverSend(exchange));
            }
            EntryAction::CancelAttempt { ticket, attempt } => {
                self.cancel_attempt(process, ticket, attempt);
            }
            EntryAction::Refuse { ticket, refusal } => {
                self.finish(process, ticket, Outcome::Refused(refusal));
            }
            EntryAction::Replay { ticket, of } => {
                let cached = self.process(process).and_then(|state| state.cached.get(&of).cloned());
                let lost = Refusal::may_have_run(RefusalCode::AnswerLost);
                let outcome = cached.map_or(Outcome::Refused(lost), Outcome::Answered);
                self.finish(process, ticket, outcome);
            }
            EntryAction::Forget { ticket } => {
                if let Some(state) = self.process(process) {
                    state.cached.remove(&ticket);
                }
            }
            EntryAction::Delegate { ticket, address, .. } => {
                self.send_delegated(process, ticket, address);
            }
            EntryAction::Poll { vm, .. } => {
                *self.polls.entry(vm.clone()).or_default() += 1;
                self.schedule(1, Event::PollArrive(process, vm));
            }
            EntryAction::ReadVmList => {
                let entries = self.lagging_vm_list();
                self.schedule(VM_LIST_MS, Event::ToEntry(process, EntryEvent::VmList { entries }));
            }
            EntryAction::Store { call, request } => self.send_store(process, call, request),
            EntryAction::SendPeer { address, message } => {
                self.send_peer(process, address, message);
            }
            EntryAction::Left => {
                if let Some(state) = self.process(process) {
                    state.has_left = true;
                }
                self.kill_entry(process.entry);
            }
        }
    }

    fn cancel_attempt(&mut self, process: Process, ticket: Ticket, attempt: Attempt) {
        // One cancel in five is lost inside the driver.
        let is_silent = self.rng.random_range(0..5) == 0;
        let Some(state) = self.request_state(process, ticket) else { return };
        let event = match state.attempt {
            Some((current, SendState::Pending)) if current == attempt => AttemptEvent::Expired,
            Some((current, SendState::Sent)) if current == attempt => AttemptEvent::Failed,
            _ => return,
        };
        state.attempt = Some((attempt, SendState::Cancelled));
        if !is_silent {
            self.report_attempt(process, ticket, attempt, event);
        }
    }

    /// Writes the first byte of a request.
    pub fn driver_send(&mut self, exchange: &Exchange) {
        let Exchange { process, ticket, attempt, .. } = *exchange;
        let now = TimeMs::new(self.now);
        let vm = self.vm_at(exchange.address);
        let target = vm.filter(|vm| self.answers(vm) && !self.is_cut(process.entry, vm));
        let Some(state) = self.request_state(process, ticket) else { return };
        if state.attempt != Some((attempt, SendState::Pending)) {
            return;
        }
        if now > exchange.send_before {
            state.attempt = Some((attempt, SendState::Completed));
            return self.report_attempt(process, ticket, attempt, AttemptEvent::Expired);
        }
        let Some(vm) = target else {
            state.attempt = Some((attempt, SendState::Completed));
            self.connect_failures += 1;
            let event = AttemptEvent::ConnectFailed;
            let event = EntryEvent::Attempt { ticket, attempt, event };
            return self.schedule(CONNECT_TIMEOUT_MS, Event::ToEntry(process, event));
        };
        state.attempt = Some((attempt, SendState::Sent));
        let replica = exchange.replica.clone();
        self.sends.push((self.now, vm.clone()));
        self.checks.observe(Observation::Sent { at: now, vm, replica });
        self.report_attempt(process, ticket, attempt, AttemptEvent::Sent);
        self.schedule(1, Event::ReachTarget(exchange.clone()));
        let left_ms = exchange.deadline_at.saturating_sub(self.now) + 100;
        self.schedule(left_ms, Event::ReadTimeout(process, ticket, attempt));
    }

    /// Processes a response step of a target.
    pub fn target_step(&mut self, process: Process, ticket: Ticket, attempt: Attempt, step: Step) {
        let Some(state) = self.request_state(process, ticket) else { return };
        if state.attempt != Some((attempt, SendState::Sent)) {
            return self.late_step(process, ticket, attempt, &step);
        }
        let event = match step {
            Step::Refused => AttemptEvent::Refused,
            Step::Reset => AttemptEvent::Failed,
            Step::Head => AttemptEvent::Started,
            Step::Piece(piece) => {
                state.delivered.push(piece);
                AttemptEvent::Progress { tokens: 1 }
            }
            Step::End => AttemptEvent::Finished,
        };
        if matches!(event, AttemptEvent::Refused | AttemptEvent::Failed | AttemptEvent::Finished) {
            state.attempt = Some((attempt, SendState::Completed));
        }
        if event == AttemptEvent::Finished {
            let answer = Answer { pieces: state.delivered.clone() };
            let is_keyed = state.key.is_some();
            if is_keyed && let Some(fake) = self.process(process) {
                fake.cached.insert(ticket, answer.clone());
            }
            self.finish(process, ticket, Outcome::Answered(answer));
        }
        self.report_attempt(process, ticket, attempt, event);
    }

    /// Reports a step of a completed attempt to the node, but not to the caller.
    fn late_step(&mut self, process: Process, ticket: Ticket, attempt: Attempt, step: &Step) {
        let event = match step {
            Step::Refused => AttemptEvent::Refused,
            Step::Head => AttemptEvent::Started,
            Step::Piece(_) => AttemptEvent::Progress { tokens: 1 },
            Step::End => AttemptEvent::Finished,
            Step::Reset => AttemptEvent::Failed,
        };
        let is_current = self
            .request_state(process, ticket)
            .and_then(|state| state.attempt)
            .is_some_and(|(current, _)| current == attempt);
        if !is_current {
            self.report_attempt(process, ticket, attempt, event);
        }
    }

    /// Fails an attempt that is still running after its deadline.
    pub fn read_timeout(&mut self, process: Process, ticket: Ticket, attempt: Attempt) {
        self.target_step(process, ticket, attempt, Step::Reset);
    }

    /// Delivers the final answer of a ticket to its receiver.
    pub fn finish(&mut self, process: Process, ticket: Ticket, outcome: Outcome) {
        let Some(state) = self.request_state(process, ticket) else { return };
        if std::mem::replace(&mut state.finished, true) {
            return;
        }
        match state.origin {
            Origin::Call(call) => self.deliver_answer(call, outcome),
            Origin::Peer(to, ticket) => {
                let is_cut = self.are_entries_cut(process.entry, to.entry);
                let outcome = Some(outcome).filter(|_| !is_cut);
                let delay_ms = if is_cut { 500 } else { 1 };
                self.schedule(delay_ms, Event::DelegatedCompletes { to, ticket, outcome });
            }
            Origin::Disconnected => {}
        }
    }

    fn report_attempt(
        &mut self,
        process: Process,
        ticket: Ticket,
        attempt: Attempt,
        event: AttemptEvent,
    ) {
        let event = EntryEvent::Attempt { ticket, attempt, event };
        self.schedule(0, Event::ToEntry(process, event));
    }
}
