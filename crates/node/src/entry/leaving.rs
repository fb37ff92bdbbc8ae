use celeryhaven_policy::RequestPolicy;
use celeryhaven_types::TimeMs;

use crate::entry::{EntryAction, EntryNode};

/// How long the word that a node leaves may take to every other entry, in milliseconds.
///
/// Gossip passes on to two others each 200 ms: nine rounds reach 340 nodes, which is 1.8 s. Until
/// then another entry may still name the node in an answer.
const WORD_SPREADS_MS: u64 = 2_000;

/// A planned stop.
impl<P: RequestPolicy> EntryNode<P> {
    /// Starts to leave: address answers name this node no more, those of other entries neither.
    pub(crate) fn leave(&mut self, now: TimeMs) {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(now);
            self.fleet.membership.announce_leaving(now);
        }
    }

    /// How long callers may keep an address answer, in milliseconds.
    ///
    /// Shorter than a leaving node serves on, by the time that its word takes to others: an answer
    /// that they give meanwhile lapses before it stops. At most half, for very short lifetimes.
    pub(crate) fn answer_ttl_ms(&self) -> u64 {
        let ttl_ms = self.settings.address_ttl_ms;
        ttl_ms - WORD_SPREADS_MS.min(ttl_ms / 2)
    }

    /// When the last address answer that named this node has lapsed.
    pub(crate) fn leaves_at(&self) -> Option<TimeMs> {
        self.leaving_since.map(|since| since.after(self.settings.address_ttl_ms))
    }

    /// Leaves once no cached address answer points here and no request is without its answer.
    ///
    /// Guards against requests cut off by a stop: callers keep an address answer for its lifetime
    /// and go on connecting here, so the node serves on for that long.
    pub(crate) fn check_leaving(&mut self, now: TimeMs, out: &mut Vec<EntryAction>) {
        if self.has_left || self.leaves_at().is_none_or(|at| at > now) {
            return;
        }
        self.has_lapsed = true;
        if self.requests.len() == 0 {
            self.has_left = true;
            let mut actions = Vec::new();
            self.fleet.membership.leave(now, &mut actions);
            self.apply_membership(now, actions, out);
            out.push(EntryAction::Left);
        }
    }
}
