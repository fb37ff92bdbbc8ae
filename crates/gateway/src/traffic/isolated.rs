use celeryhaven_delegation::Peer;
use celeryhaven_policy::Ticket;
use celeryhaven_types::{NodeName, ServiceName, TimeMs};

use crate::traffic::DispatchState;
use crate::traffic::dispatch_state::Instruction;
use crate::traffic::pool::Pool;

/// Silence of a target after which a peer runs a repeatable request as well while this node is
/// isolated, in milliseconds.
///
/// The links may be back within a second; callers give up after two.
const ISOLATED_SILENCE_MS: u64 = 1_200;

/// What changes while this node reaches no target of a service.
impl DispatchState {
    /// Chooses a node that can run a request of a service.
    pub(crate) fn choose_peer(
        &mut self,
        now: TimeMs,
        service: &ServiceName,
        tried: &[NodeName],
    ) -> Option<Peer> {
        self.peers.choose(now, service, tried, &mut self.rng).cloned()
    }

    /// Whether the retry budget, which is charged unless it has been already, allows another attempt of
    /// a request.
    pub(crate) fn try_withdraw_retry(&mut self, ticket: Ticket) -> bool {
        if self.active_requests.get(&ticket).is_some_and(|active| active.is_retry_paid) {
            return true;
        }
        let pool = self.active_requests.get(&ticket).map(|active| &active.pool);
        pool.and_then(|key| self.pools.get_mut(key)).is_some_and(Pool::try_withdraw_retry)
    }

    /// Lets peers run the repeatable requests at silent targets of isolated services.
    ///
    /// The attempts here stay: the links may be back, and the targets go on.
    pub(crate) fn delegate_silent(
        &mut self,
        now: TimeMs,
        is_isolated: impl Fn(&ServiceName) -> bool,
    ) {
        let silent = self.active_requests.iter().filter(|(_, active)| {
            active.may_repeat
                && active.may_delegate
                && active.destination.is_some()
                && now.since(active.heard_at) >= ISOLATED_SILENCE_MS
                && is_isolated(&active.pool.service)
        });
        let mut tickets: Vec<Ticket> = silent.map(|(ticket, _)| *ticket).collect();
        tickets.sort_unstable();
        for ticket in tickets {
            let Some(active) = self.active_requests.get(&ticket) else { continue };
            let has_peer = self.peers.has_candidate(now, &active.pool.service);
            if !has_peer || !self.try_withdraw_retry(ticket) {
                return;
            }
            let Some(active) = self.active_requests.get_mut(&ticket) else { continue };
            // It is delegated only once.
            (active.may_delegate, active.is_retry_paid) = (false, true);
            active.instructions.try_send(Instruction::DelegateSecond).unwrap_or_default();
        }
    }

    /// Forgets what calls have shown of silent targets, as this node was isolated.
    ///
    /// Ends of targets stay: each has been settled by more than this node's links.
    pub(crate) fn forget_failures(&mut self, now: TimeMs) {
        self.clear_quiet(now);
        self.stall_detector.clear_suspicions(now);
        self.refresh_targets(now);
    }
}
