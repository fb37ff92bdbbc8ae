use std::collections::BTreeMap;

use celeryhaven_types::TimeMs;

use crate::baseline::fifo::{Fifo, FifoTarget, SelectTarget};
use crate::interface::{Decision, PolicyEvent, RequestPolicy, TargetKey};

/// FIFO policy that sends to the target with the least reported load.
///
/// A baseline without admission control or fair shares.
#[derive(Clone, Debug, Default)]
pub struct LeastLoaded {
    fifo: Fifo<LeastReportedLoad>,
}

impl LeastLoaded {
    /// Creates a policy without targets.
    pub fn new() -> Self {
        Self::default()
    }
}

impl RequestPolicy for LeastLoaded {
    fn handle(&mut self, now: TimeMs, event: PolicyEvent<'_>, out: &mut Vec<Decision>) {
        self.fifo.handle(now, event, out);
    }

    fn next_wake(&self) -> Option<TimeMs> {
        self.fifo.next_wake()
    }
}

/// Selects by reported load.
#[derive(Clone, Debug, Default)]
struct LeastReportedLoad;

impl SelectTarget for LeastReportedLoad {
    fn select(
        &mut self,
        targets: &BTreeMap<TargetKey, FifoTarget>,
        class: usize,
    ) -> Option<TargetKey> {
        targets
            .iter()
            .filter(|(_, state)| state.up && state.class == class && state.running < state.slots)
            .min_by_key(|&(&target, state)| (state.reported, target))
            .map(|(&target, _)| target)
    }
}
