use async_channel::Receiver;
use celeryhaven_policy::{Decision, Ticket};
use celeryhaven_types::TimeMs;

use crate::traffic::dispatch_state::{ActiveRequest, Instruction, instruction_channel};
use crate::traffic::{Destination, DestinationName, DispatchState};

/// Time between two requests for a second attempt, in milliseconds.
const SECOND_RETRY_MS: u64 = 100;

/// A second attempt of a request, to be begun.
#[derive(Clone, Debug)]
pub(crate) struct SecondAttempt {
    pub(crate) ticket: Ticket,
    pub(crate) destination: Destination,
    /// Yields the instructions for the second attempt.
    pub(crate) instructions: Receiver<Instruction>,
}

/// Second attempts beside those whose targets are silent or slow.
impl DispatchState {
    /// Begins second attempts of the repeatable requests at a suspected destination where that is
    /// possible.
    ///
    /// The head of a replica that lost a member may accept requests for seconds before it notices.
    pub(super) fn start_seconds_at(&mut self, now: TimeMs, name: &DestinationName) {
        let is_at_destination =
            |active: &ActiveRequest| active.may_repeat && active.destination.as_ref() == Some(name);
        let at_destination =
            self.active_requests.iter().filter(|(_, active)| is_at_destination(active));
        let mut tickets: Vec<Ticket> = at_destination.map(|(ticket, _)| *ticket).collect();
        tickets.sort_unstable();
        self.start_seconds(now, tickets);
    }

    pub(super) fn start_seconds(&mut self, now: TimeMs, tickets: Vec<Ticket>) {
        if tickets.is_empty() {
            return;
        }
        let silent: Vec<DestinationName> = self.stall_detector.quiet(now).cloned().collect();
        tickets.into_iter().for_each(|ticket| self.start_second(now, ticket, &silent));
    }

    /// Begins a second attempt of a request whose target is silent or slow, if the policy allows it.
    ///
    /// The first one goes on: its target may, too.
    fn start_second(&mut self, now: TimeMs, ticket: Ticket, silent: &[DestinationName]) {
        let Some(active) = self.active_requests.get_mut(&ticket) else { return };
        let has_two = active.first.is_some() || active.second.is_some();
        if !active.may_repeat || has_two || now < active.next_second_at {
            return;
        }
        active.next_second_at = now.after(SECOND_RETRY_MS);
        let key = active.pool.clone();
        let second = self.reserve_ticket();
        let mut out = Vec::new();
        let Some(pool) = self.pools.get_mut(&key) else { return };
        pool.start_second(now, (ticket, second), silent, &mut out);
        let target = out.iter().find_map(|decision| match decision {
            Decision::Dispatch { ticket, target } if *ticket == second => Some(*target),
            _ => None,
        });
        let destination = target.and_then(|target| pool.destination(target)).cloned();
        if let Some(destination) = destination {
            out.retain(
                |other| !matches!(other, Decision::Dispatch { ticket, .. } if *ticket == second),
            );
            self.add_second(now, (ticket, second), destination);
        }
        self.execute(&key, out);
    }

    fn add_second(
        &mut self,
        now: TimeMs,
        (ticket, second): (Ticket, Ticket),
        destination: Destination,
    ) {
        let Some(first) = self.active_requests.get_mut(&ticket) else { return };
        first.second = Some(second);
        let (instructions, receiver) = instruction_channel();
        let active = ActiveRequest {
            pool: first.pool.clone(),
            instructions,
            destination: Some(destination.name.clone()),
            data_centre: Some(destination.data_centre.clone()),
            heard_at: now,
            streaming_since: None,
            may_repeat: first.may_repeat,
            may_delegate: false,
            is_retry_paid: false,
            next_second_at: now,
            second: None,
            first: Some(ticket),
            retry_denial: None,
            digest: first.digest,
            parts: first.parts.clone(),
        };
        let attempt = SecondAttempt { ticket: second, destination, instructions: receiver };
        let is_sent = first.instructions.try_send(Instruction::StartSecond(attempt)).is_ok();
        self.active_requests.insert(second, active);
        if !is_sent {
            self.notify_pool(second, |pool, out| pool.abandoned(now, second, out));
            self.remove(second);
        }
    }
}
