use std::collections::BTreeMap;
use std::ops::Bound;

use celeryhaven_types::TimeMs;

use crate::baseline::fifo::{Fifo, FifoTarget, SelectTarget};
use crate::interface::{Decision, PolicyEvent, RequestPolicy, TargetKey};

/// FIFO policy that sends to the targets in turn.
///
/// A baseline without admission control or fair shares.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    fifo: Fifo<Rotation>,
}

impl RoundRobin {
    /// Creates a policy without targets.
    pub fn new() -> Self {
        Self::default()
    }
}

impl RequestPolicy for RoundRobin {
    fn handle(&mut self, now: TimeMs, event: PolicyEvent<'_>, out: &mut Vec<Decision>) {
        self.fifo.handle(now, event, out);
    }

    fn next_wake(&self) -> Option<TimeMs> {
        self.fifo.next_wake()
    }
}

/// Selects in order of keys, starting after the last selected target.
#[derive(Clone, Debug, Default)]
struct Rotation {
    last: Option<TargetKey>,
}

impl SelectTarget for Rotation {
    fn select(
        &mut self,
        targets: &BTreeMap<TargetKey, FifoTarget>,
        class: usize,
    ) -> Option<TargetKey> {
        let usable = |(_, state): &(&TargetKey, &FifoTarget)| {
            state.up && state.class == class && state.running < state.slots
        };
        let last = self.last.unwrap_or_default();
        let next = targets
            .range((Bound::Excluded(last), Bound::Unbounded))
            .find(usable)
            .or_else(|| targets.iter().find(usable))
            .map(|(&target, _)| target);
        self.last = next.or(self.last);
        next
    }
}
