use celeryhaven_policy::{Decision, FairPolicy, FairSettings, PolicyEvent, RequestPolicy};
use celeryhaven_types::TimeMs;

use super::least_loaded::{LeastLoaded, PolicyBehaviour};

/// The policy of an entry in a test.
pub enum TestPolicy {
    /// The minimal policy.
    Least(LeastLoaded),
    /// The production policy.
    Fair(Box<FairPolicy>),
}

impl TestPolicy {
    pub fn new(behaviour: PolicyBehaviour, seed: u64) -> Self {
        if behaviour.fair {
            Self::Fair(Box::new(FairPolicy::new(FairSettings::new(seed))))
        } else {
            Self::Least(LeastLoaded::new(behaviour))
        }
    }
}

impl RequestPolicy for TestPolicy {
    fn handle(&mut self, now: TimeMs, event: PolicyEvent<'_>, out: &mut Vec<Decision>) {
        match self {
            Self::Least(policy) => policy.handle(now, event, out),
            Self::Fair(policy) => policy.handle(now, event, out),
        }
    }

    fn next_wake(&self) -> Option<TimeMs> {
        match self {
            Self::Least(policy) => policy.next_wake(),
            Self::Fair(policy) => policy.next_wake(),
        }
    }
}
