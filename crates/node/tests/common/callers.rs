use celeryhaven_checks::{CallId, Observation, OperationId};
use celeryhaven_node::EntryEvent;
use celeryhaven_policy::Ticket;
use celeryhaven_types::{
    Idempotency, OrganisationName, Priority, RequestHead, RequestId, TimeMs, Verdict,
};
use rand::Rng;

use super::driver::Origin;
use super::events::{Event, Outcome, Process};
use super::setup::{KeySource, ORGANISATION, Plan};
use super::world::World;

/// An operation of a caller, with all its retries.
#[derive(Clone, Debug)]
pub struct Operation {
    pub plan: Plan,
    pub key: Option<String>,
    pub retries_left: u32,
    pub answered: bool,
}

/// One call of an operation.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub operation: OperationId,
    pub process: Process,
    pub ticket: Ticket,
    pub completed: bool,
}

impl World {
    /// Adds an operation with its first calls at `at_ms`, one to each entry.
    pub fn operation(&mut self, at_ms: u64, entries: &[usize], plan: Plan) -> OperationId {
        let id = OperationId::new(self.operations.len() as u64 + 1);
        let key = (plan.key == KeySource::Own).then(|| format!("own-{id}"));
        if let KeySource::Issued(entry) = plan.key {
            let before = at_ms.saturating_sub(20);
            self.schedule_at(before, Event::GetKey { operation: id, entry });
        }
        for entry in entries {
            self.schedule_at(at_ms, Event::SendCall { operation: id, entry: *entry });
        }
        let retries_left = plan.retries;
        self.operations.insert(id, Operation { plan, key, retries_left, answered: false });
        id
    }

    pub fn get_key(&mut self, operation: OperationId, entry: usize) {
        let now = TimeMs::new(self.now);
        let organisation = OrganisationName::new(ORGANISATION);
        let count = self.entries.len();
        let from = (entry..entry + count).map(|entry| entry % count);
        let up = from.into_iter().find(|entry| self.is_up(*entry));
        let fake = up.and_then(|entry| self.entries[entry].as_mut());
        let key = fake.map(|fake| fake.node.issue_keys(now, &organisation, 1).keys.remove(0));
        if let Some(operation) = self.operations.get_mut(&operation) {
            operation.key = key;
        }
    }

    /// Sends a call to the first reachable entry from this one on.
    pub fn send_call(&mut self, id: OperationId, entry: usize) {
        let Some(operation) = self.operations.get(&id).cloned() else { return };
        let is_guarded = operation.plan.key != KeySource::None;
        if operation.answered || (is_guarded && operation.key.is_none()) {
            return;
        }
        let count = self.entries.len();
        let up = (entry..entry + count)
            .map(|entry| entry % count)
            .find(|entry| self.entries[*entry].as_ref().is_some_and(|fake| !fake.has_left));
        let Some(entry) = up else { return };
        let plan = operation.plan;
        let call = CallId::new(self.calls.len() as u64 + 1);
        let head = RequestHead {
            id: RequestId::new(format!("{id}.{call}")),
            organisation: OrganisationName::new(ORGANISATION),
            class: plan.class,
            priority: Priority::new(1),
            worth: 1,
            idempotency: plan.idempotency,
            deadline_in_ms: plan.deadline_ms,
            start_within_ms: None,
            attempts_max: None,
            prompt_tokens: 10,
            output_tokens_max: plan.pieces,
            prefix_hashes: vec![id.get()],
            choice_key: None,
        };
        let at = TimeMs::new(self.now);
        self.checks.observe(Observation::Asked {
            at,
            call,
            operation: id,
            idempotency: plan.idempotency,
            pieces: plan.pieces,
        });
        let Some(ticket) = self.arrive(entry, Origin::Call(call), head, operation.key) else {
            return;
        };
        let boot = self.entries[entry].as_ref().map(|fake| fake.boot).unwrap_or_default();
        let process = Process { entry, boot };
        self.calls.insert(call, Call { operation: id, process, ticket, completed: false });
        self.schedule(plan.caller_timeout_ms, Event::CallerTimeout(call));
    }

    pub fn operation_of(&self, head: &RequestHead) -> (OperationId, u32) {
        let id = head.id.as_str().split('.').next().and_then(|text| text.parse().ok());
        let id = OperationId::new(id.unwrap_or_default());
        let pieces = self.operations.get(&id).map_or(0, |operation| operation.plan.pieces);
        (id, pieces)
    }

    /// Delivers a final answer to a caller.
    pub fn deliver_answer(&mut self, id: CallId, outcome: Outcome) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.completed = true;
        let (operation, entry) = (call.operation, call.process.entry);
        let (verdict, answer) = match outcome {
            Outcome::Answered(answer) => (Verdict::Answered, Some(answer)),
            Outcome::Refused(refusal) => {
                *self.refusals.entry(format!("{:?}", refusal.code)).or_default() += 1;
                (refusal.verdict, None)
            }
        };
        let at = TimeMs::new(self.now);
        self.checks.observe(Observation::Told { at, call: id, verdict, answer });
        match verdict {
            Verdict::Answered => {
                if let Some(operation) = self.operations.get_mut(&operation) {
                    operation.answered = true;
                }
            }
            verdict => self.retry(operation, entry, verdict),
        }
    }

    /// Records that a caller's connection failed.
    pub fn cut_off(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if std::mem::replace(&mut call.completed, true) {
            return;
        }
        let (operation, entry) = (call.operation, call.process.entry);
        let at = TimeMs::new(self.now);
        self.checks.observe(Observation::CutOff { at, call: id });
        self.retry(operation, entry, Verdict::MayHaveRun);
    }

    /// Closes a caller's connection after its timeout.
    pub fn time_out_caller(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id).copied().filter(|call| !call.completed) else {
            return;
        };
        self.cut_off(id);
        self.caller_disconnected(call.process, call.ticket);
    }

    fn caller_disconnected(&mut self, process: Process, ticket: Ticket) {
        let Some(state) = self.request_state(process, ticket) else { return };
        state.origin = Origin::Disconnected;
        self.schedule(0, Event::ToEntry(process, EntryEvent::CallerDisconnected { ticket }));
        let passed = self.entries.iter().enumerate().find_map(|(entry, fake)| {
            let fake = fake.as_ref()?;
            let origin = Origin::Peer(process, ticket);
            let (ticket, _) = fake.tickets.iter().find(|(_, state)| state.origin == origin)?;
            Some((Process { entry, boot: fake.boot }, *ticket))
        });
        if let Some((process, ticket)) = passed {
            self.caller_disconnected(process, ticket);
        }
    }

    /// Creates a separate operation for a retry without a key, because nothing links the two calls.
    fn copy_operation(&mut self, id: OperationId) -> OperationId {
        let new = OperationId::new(self.operations.len() as u64 + 1);
        let operation = self.operations.get(&id).cloned();
        self.operations.extend(operation.map(|operation| (new, operation)));
        new
    }

    /// Retries at the next entry if the verdict permits it.
    fn retry(&mut self, id: OperationId, entry: usize, verdict: Verdict) {
        let delay_ms = self.rng.random_range(5..400);
        let Some(operation) = self.operations.get_mut(&id) else { return };
        let is_safe = operation.key.is_some()
            || operation.plan.idempotency == Idempotency::Idempotent
            || verdict == Verdict::NotRun;
        if is_safe && !operation.answered && operation.retries_left > 0 {
            operation.retries_left -= 1;
            let operation = match &operation.key {
                Some(_) => id,
                None => self.copy_operation(id),
            };
            self.schedule(delay_ms, Event::SendCall { operation, entry: entry + 1 });
        }
    }
}
