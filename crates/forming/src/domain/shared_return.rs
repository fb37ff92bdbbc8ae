use celeryhaven_fleet::{TargetEntry, TargetPhase};
use celeryhaven_types::TimeMs;

use crate::domain::DomainPlanner;
use crate::interface::FormingView;

/// Part of the targets of the other domains that are free when many return at once: one in this many.
///
/// Without losses, few targets are free, as spares.
const READY_PER_FREE: usize = 4;

/// How long a domain forms no more than its part of a model while many targets of others are free, in
/// milliseconds.
///
/// Covers the write of their plans and the time until the list shows the joins.
const PART_ONLY_MS: u64 = 1_000;

/// Time without such a wait after which the next one begins anew, in milliseconds.
const NEXT_RETURN_MS: u64 = 5_000;

/// A wait for the plans of other domains.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SharedReturn {
    since: TimeMs,
    seen_at: TimeMs,
}

impl DomainPlanner {
    /// Whether this domain waits before it forms more than its part of a model.
    ///
    /// When a data centre returns, all its domains see the same shortage at once. Without the wait, each
    /// would form replicas for the whole of it: six domains formed 6 and 18 replicas in place of 8 and 14.
    pub(crate) fn waits_for_other_domains(&mut self, now: TimeMs, view: FormingView<'_>) -> bool {
        let others = view.domains.iter().filter(|domain| *domain.name != self.domain);
        let (mut ready, mut free) = (0, 0);
        for domain in others {
            ready += domain.targets.ready();
            let entries = domain.targets.names().iter().filter_map(|name| view.fleet.target(name));
            let is_free = |entry: &&TargetEntry| {
                entry.phase == TargetPhase::Ready && entry.membership.is_none() && !entry.is_empty()
            };
            free += entries.filter(is_free).count();
        }
        if free == 0 || free * READY_PER_FREE < ready {
            return false;
        }
        let earlier = self.shared_return.filter(|it| now.since(it.seen_at) < NEXT_RETURN_MS);
        let since = earlier.map_or(now, |it| it.since);
        self.shared_return = Some(SharedReturn { since, seen_at: now });
        now.since(since) < PART_ONLY_MS
    }
}
