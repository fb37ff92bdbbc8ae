use celeryhaven_derives::data;
use celeryhaven_types::{NodeName, OrganisationName, VmName};

/// Crashes after which a request is quarantined.
///
/// A target runs many requests at once, so its end implicates all of them; only coincidence over
/// several targets tells.
pub const CRASHES_MAX: usize = 3;

data! {
    /// A target that ended while it ran a request.
    #[derive(Eq)]
    pub struct Crash {
        /// Name of the target.
        pub target: VmName,
        /// Start time of its process in Unix milliseconds, if known: a restarted target may keep
        /// its name.
        pub started_at_ms: Option<u64>,
        /// The node that had sent the request.
        pub node: NodeName,
    }

    /// What the fleet knows of one request that was running when targets ended.
    ///
    /// Merging is idempotent, so a write whose answer was lost can be repeated.
    #[derive(Eq, Default)]
    pub struct CrashRecord {
        /// Organisation of the caller, for operators.
        pub organisation: Option<OrganisationName>,
        /// Name of the route, for operators.
        pub route: String,
        /// The targets that ended, each once.
        pub crashes: Vec<Crash>,
        /// Number of trials that nodes have claimed since the quarantine began.
        pub trials: u32,
        /// Whether a target has completed the request meanwhile.
        pub completed: bool,
    }
}

impl Crash {
    /// Whether another node reports the end of the same process.
    fn is_same_as(&self, other: &Self) -> bool {
        self.target == other.target && self.started_at_ms == other.started_at_ms
    }
}

impl CrashRecord {
    /// Adds a crash, unless the record holds it or has enough.
    pub fn add_crash(&mut self, crash: Crash) {
        let is_known = self.crashes.iter().any(|known| known.is_same_as(&crash));
        if !is_known && self.crashes.len() < CRASHES_MAX {
            self.crashes.push(crash);
        }
    }

    /// Adds what another record of the same request holds.
    pub fn merge(&mut self, other: &Self) {
        if self.route.is_empty() {
            self.organisation = other.organisation.clone();
            self.route = other.route.clone();
        }
        other.crashes.iter().for_each(|crash| self.add_crash(crash.clone()));
        self.trials = self.trials.max(other.trials);
        self.completed |= other.completed;
    }

    /// Whether the request must be kept away from targets.
    ///
    /// A request that a target has completed does not end every target that runs it.
    pub fn is_quarantined(&self) -> bool {
        !self.completed && self.crashes.len() >= CRASHES_MAX
    }
}
