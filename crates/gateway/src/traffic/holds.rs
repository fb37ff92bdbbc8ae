use std::time::Duration;

use celeryhaven_policy::Ticket;
use celeryhaven_quarantine::{CauseDigest, Hold, Standing};
use smol::Timer;

use crate::adapter::Adapter;
use crate::traffic::dispatch_state::{ActiveRequest, Instruction};
use crate::traffic::{CallerRequest, DispatchState, Exchange};

/// Longest wait for another copy of a content that may have ended targets, in milliseconds, and the
/// interval between two looks.
const HELD_MS_MAX: u64 = 600;
const HELD_INTERVAL: Duration = Duration::from_millis(20);

/// Requests that must not run now, as they may end their targets.
impl DispatchState {
    /// Takes back what runs and holds a quarantined cause, unless targets have run that lately without
    /// ending.
    pub(crate) fn take_back_quarantined(&self) {
        let is_guilty = |digest: &CauseDigest| {
            let standing = self.standing(*digest);
            standing.is_some_and(Standing::is_quarantined) && !self.sound_runs.contains(*digest)
        };
        let running = self.active_requests.values().filter(|active| active.destination.is_some());
        let guilty = running
            .filter(|active| is_guilty(&active.digest) || active.parts.iter().any(is_guilty));
        guilty.for_each(|active| {
            active.instructions.try_send(Instruction::TakeBack).unwrap_or_default();
        });
    }

    /// Returns how the content of a request is held, unless targets have run it lately without ending.
    pub(crate) fn hold(&self, request: &CallerRequest) -> Option<Hold> {
        let hold = self.held.get(&request.digest).copied();
        hold.filter(|_| !self.sound_runs.contains(request.digest))
    }

    /// Whether a request must wait, as its content may end targets.
    pub(crate) fn is_held_back(&self, ticket: Ticket, request: &CallerRequest) -> bool {
        let is_other = |(other, active): (&Ticket, &ActiveRequest)| {
            *other != ticket && active.digest == request.digest && active.destination.is_some()
        };
        match self.hold(request) {
            None => false,
            Some(Hold::Stopped) => true,
            Some(Hold::OneAtATime) => self.active_requests.iter().any(is_other),
        }
    }
}

impl<A: Adapter> Exchange<A> {
    /// Whether an attempt that runs is given up as its request is quarantined.
    pub(super) fn may_be_taken_back(&self) -> bool {
        self.unanswered_at.is_some() && self.quarantine_refusal().is_some()
    }

    /// Waits while another copy of the content runs at this node, if it may have ended targets, until the
    /// process is about to exit.
    pub(super) async fn wait_while_held(&self) {
        let wait_ms = HELD_MS_MAX.min(self.time_left().as_millis() as u64 / 2);
        let until = self.dispatcher.now().after(wait_ms);
        let is_held = || self.dispatcher.state.borrow().is_held_back(self.ticket, &self.request);
        let wait = async {
            while !self.is_trial && is_held() && self.dispatcher.now() < until {
                Timer::after(HELD_INTERVAL).await;
            }
        };
        smol::future::or(wait, self.process_exits()).await;
    }
}
