use std::collections::BTreeMap;

use celeryhaven_derives::state;
use celeryhaven_types::{TimeMs, VmName};

/// How long a departure is remembered after the last answer that announced it, in milliseconds.
///
/// Longer than any target takes to leave; a new process of the same name has another start time.
const RETENTION_MS: u64 = 600_000;

state! {
    /// What a target that leaves has told this node.
    #[derive(Copy, Eq)]
    struct Departure {
        started_at_ms: Option<u64>,
        announced_at: TimeMs,
    }
}

/// The targets that have announced in their answers to this node that they leave.
///
/// An announcement holds until the process ends, whatever the target's entry says.
///
/// ```
/// use celeryhaven_target_limits::Departures;
/// use celeryhaven_types::{TimeMs, VmName};
///
/// let (mut departures, target) = (Departures::new(), VmName::new("vm-1"));
/// assert!(departures.observe(TimeMs::new(0), &target, Some(7)));
/// assert!(departures.contains(&target, Some(7)));
/// assert!(!departures.contains(&target, Some(8)));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Departures {
    by_target: BTreeMap<VmName, Departure>,
}

impl Departures {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the announcement of a target, started at a time in Unix milliseconds if known;
    /// returns whether it is new.
    pub fn observe(&mut self, now: TimeMs, target: &VmName, started_at_ms: Option<u64>) -> bool {
        let is_new = !self.contains(target, started_at_ms);
        if is_new {
            self.by_target.retain(|_, departure| now.since(departure.announced_at) < RETENTION_MS);
        }
        let departure = Departure { started_at_ms, announced_at: now };
        self.by_target.insert(target.clone(), departure);
        is_new
    }

    /// Whether the process of a target has announced that it leaves.
    pub fn contains(&self, target: &VmName, started_at_ms: Option<u64>) -> bool {
        let departure = self.by_target.get(target);
        departure.is_some_and(|departure| departure.started_at_ms == started_at_ms)
    }
}
