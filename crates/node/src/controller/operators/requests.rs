use std::collections::BTreeMap;

use celeryhaven_types::store::StoreReply;
use celeryhaven_types::{OperatorName, OperatorReply, OperatorRequest, TimeMs};

use crate::controller::interface::{ControllerAction, OperatorTicket};
use crate::controller::operators::{Outcome, Step, Task};
use crate::controller::state::{Fleet, Outbox, Route};

/// Delay before a failed step is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 300;

/// Operator requests in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct OperatorRequests {
    tasks: BTreeMap<OperatorTicket, Task>,
    retries: Vec<(TimeMs, OperatorTicket, Step)>,
}

impl OperatorRequests {
    pub(crate) fn begin(
        &mut self,
        ticket: OperatorTicket,
        operator: OperatorName,
        request: OperatorRequest,
        at_unix_ms: u64,
        deadline: TimeMs,
        out: &mut Outbox<'_>,
    ) {
        let mut task = Task::new(operator, request, at_unix_ms, deadline);
        let steps = task.first_steps();
        self.tasks.insert(ticket, task);
        self.send(ticket, steps, out);
    }

    pub(crate) fn step_completed(
        &mut self,
        ticket: OperatorTicket,
        step: Step,
        reply: StoreReply,
        fleet: &Fleet,
        status_max_age_ms: u64,
        out: &mut Outbox<'_>,
    ) {
        let Some(task) = self.tasks.get_mut(&ticket) else { return };
        match task.step_completed(step, reply, fleet, status_max_age_ms) {
            Outcome::Next(steps) => self.send(ticket, steps, out),
            Outcome::Retry(step) => {
                self.retries.push((out.now.after(RETRY_DELAY_MS), ticket, step));
            }
            Outcome::Answer(reply) => self.answer(ticket, reply, out),
        }
    }

    /// Retries steps that are due and completes requests whose deadline has passed.
    pub(crate) fn advance(&mut self, out: &mut Outbox<'_>) {
        let now = out.now;
        let expired: Vec<OperatorTicket> =
            self.tasks.iter().filter(|(_, t)| now >= t.deadline()).map(|(id, _)| *id).collect();
        for ticket in expired {
            if let Some(refusal) = self.tasks.get(&ticket).map(Task::deadline_refusal) {
                self.answer(ticket, OperatorReply::Refused(refusal), out);
            }
        }
        let due = self.retries.extract_if(.., |(at, _, _)| *at <= now).collect::<Vec<_>>();
        for (_, ticket, step) in due {
            self.send(ticket, vec![step], out);
        }
    }

    fn send(&mut self, ticket: OperatorTicket, steps: Vec<Step>, out: &mut Outbox<'_>) {
        let Some(task) = self.tasks.get_mut(&ticket) else { return };
        for step in steps {
            if let Some(request) = task.request(&step) {
                out.store(Route::Operator(ticket, step), request);
            }
        }
    }

    fn answer(&mut self, ticket: OperatorTicket, reply: OperatorReply, out: &mut Outbox<'_>) {
        self.tasks.remove(&ticket);
        self.retries.retain(|(_, other, _)| *other != ticket);
        out.push(ControllerAction::Answer { ticket, reply });
    }
}
