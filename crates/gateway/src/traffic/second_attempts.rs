use async_channel::Receiver;
use celeryhaven_policy::{Decision, Ticket};
use celeryhaven_types::TimeMs;

use crate::traffic::dispatch_state::{ActiveRequest, Instruction, instruction_channel};
use crate::traffic::{Destination, DestinationName, DispatchState};

/// Time between two requests for a second attempt, in milliseconds.
const SECOND_RETRY_MS: u64 = 100;

/// Why a request gets a second attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SecondReason {
    /// Its target is suspected, as it is silent.
    Silent,
    /// Its target is slow.
    Slow,
    /// The streams of its replica have paused, and its pause bound would pass.
    Quiet,
    /// This node has lost its links to the target.
    Isolated,
}

impl SecondReason {
    /// Returns the reason as in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Slow => "slow",
            Self::Quiet => "quiet",
            Self::Isolated => "isolated",
        }
    }
}

/// A second attempt of a request, to be begun.
#[derive(Clone, Debug)]
pub(crate) struct SecondAttempt {
    pub(crate) ticket: Ticket,
    pub(crate) destination: Destination,
    pub(crate) reason: SecondReason,
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
        self.start_seconds(now, tickets, SecondReason::Silent);
    }

    /// Begins second attempts of these requests where that is possible; returns how many.
    pub(super) fn start_seconds(
        &mut self,
        now: TimeMs,
        tickets: Vec<Ticket>,
        reason: SecondReason,
    ) -> usize {
        if tickets.is_empty() {
            return 0;
        }
        let silent: Vec<DestinationName> = self.stall_detector.quiet(now).cloned().collect();
        let begun =
            tickets.into_iter().filter(|ticket| self.start_second(now, *ticket, reason, &silent));
        begun.count()
    }

    /// Begins a second attempt of a request whose target is silent or slow, if the policy allows it.
    ///
    /// The first one goes on: its target may, too. Returns whether it has begun.
    fn start_second(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        reason: SecondReason,
        silent: &[DestinationName],
    ) -> bool {
        let Some(active) = self.active_requests.get_mut(&ticket) else { return false };
        let has_two = active.first.is_some() || active.second.is_some();
        if !active.may_repeat || has_two || now < active.next_second_at {
            return false;
        }
        active.next_second_at = now.after(SECOND_RETRY_MS);
        let key = active.pool.clone();
        let second = self.reserve_ticket();
        let mut out = Vec::new();
        let Some(pool) = self.pools.get_mut(&key) else { return false };
        pool.start_second(now, (ticket, second), silent, &mut out);
        let target = out.iter().find_map(|decision| match decision {
            Decision::Dispatch { ticket, target } if *ticket == second => Some(*target),
            _ => None,
        });
        let destination = target.and_then(|target| pool.destination(target)).cloned();
        let has_begun = destination.is_some();
        if let Some(destination) = destination {
            out.retain(
                |other| !matches!(other, Decision::Dispatch { ticket, .. } if *ticket == second),
            );
            self.add_second(now, (ticket, second), destination, reason);
        }
        self.execute(&key, out);
        has_begun
    }

    fn add_second(
        &mut self,
        now: TimeMs,
        (ticket, second): (Ticket, Ticket),
        destination: Destination,
        reason: SecondReason,
    ) {
        let Some(first) = self.active_requests.get_mut(&ticket) else { return };
        (first.second, first.second_reason) = (Some(second), Some(reason));
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
            pause_max_ms: first.pause_max_ms,
            second_reason: None,
            next_second_at: now,
            second: None,
            first: Some(ticket),
            retry_denial: None,
            digest: first.digest,
            parts: first.parts.clone(),
        };
        let attempt = SecondAttempt { ticket: second, destination, reason, instructions: receiver };
        let is_sent = first.instructions.try_send(Instruction::StartSecond(attempt)).is_ok();
        self.active_requests.insert(second, active);
        if !is_sent {
            self.notify_pool(second, |pool, out| pool.abandoned(now, second, out));
            self.remove(second);
        }
    }
}
