use celeryhaven_policy::RequestPolicy;
use celeryhaven_types::TimeMs;

use crate::entry::{EntryAction, EntryNode};

/// Time allowed for a leave announcement to reach every other entry.
///
/// Gossip has a fanout of two every 200 ms, so nine rounds (1.8 s) reach 340 nodes. Until then
/// another entry may still name the node in an address answer.
const LEAVE_PROPAGATION_MS: u64 = 2_000;

/// Planned shutdown.
impl<P: RequestPolicy> EntryNode<P> {
    /// Starts leaving: neither this node nor other entries name it in address answers any more.
    pub(crate) fn leave(&mut self, now: TimeMs) {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(now);
            self.fleet.membership.announce_leaving(now);
        }
    }

    /// How long callers may cache an address answer, in milliseconds.
    ///
    /// Shorter than the time a leaving node continues to serve by the propagation delay of its
    /// leave, and at least half of `address_ttl_ms`.
    pub(crate) fn answer_ttl_ms(&self) -> u64 {
        let ttl_ms = self.settings.address_ttl_ms;
        ttl_ms - LEAVE_PROPAGATION_MS.min(ttl_ms / 2)
    }

    /// When the last address answer that named this node expires.
    pub(crate) fn leaves_at(&self) -> Option<TimeMs> {
        self.leaving_since.map(|since| since.after(self.settings.address_ttl_ms))
    }

    /// Leaves once every cached address answer has expired and no request is active.
    ///
    /// Callers connect to a cached address until it expires; stopping earlier would cut their
    /// requests off.
    pub(crate) fn check_leaving(&mut self, now: TimeMs, out: &mut Vec<EntryAction>) {
        if self.has_left || self.leaves_at().is_none_or(|at| at > now) {
            return;
        }
        self.has_expired = true;
        if self.requests.len() == 0 {
            self.has_left = true;
            let mut actions = Vec::new();
            self.fleet.membership.leave(now, &mut actions);
            self.apply_membership(now, actions, out);
            out.push(EntryAction::Left);
        }
    }
}
