use celeryhaven_derives::data;
use celeryhaven_types::{NodeName, OrganisationName, VmName};

/// Crashes after which a request is quarantined.
///
/// A target runs many requests at once, so its end implicates all of them; only coincidence over
/// several targets tells.
pub const CRASHES_MAX: usize = 3;

/// Crashes from which on a quarantined request is not tried again.
const CRASH_BUDGET: usize = 5;

/// Maximum number of crashes in a record.
const CRASHES_KEPT: usize = 8;

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
        /// Whether a run that began after the crash was known has completed.
        #[serde(default)]
        pub refuted: bool,
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
    }
}

impl Crash {
    /// Whether another node reports the end of the same process.
    pub(crate) fn is_same_as(&self, other: &Self) -> bool {
        self.target == other.target && self.started_at_ms == other.started_at_ms
    }
}

impl CrashRecord {
    /// Adds a crash, or what is new about it.
    ///
    /// A record that is full keeps the crashes that nothing refutes.
    pub fn add_crash(&mut self, crash: Crash) {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.is_same_as(&crash)) {
            known.refuted |= crash.refuted;
            return;
        }
        if self.crashes.len() >= CRASHES_KEPT {
            let refuted = self.crashes.iter().position(|known| known.refuted);
            let Some(refuted) = refuted.filter(|_| !crash.refuted) else { return };
            self.crashes.remove(refuted);
        }
        self.crashes.push(crash);
    }

    /// Adds what another record of the same request holds.
    pub fn merge(&mut self, other: &Self) {
        if self.route.is_empty() {
            self.organisation = other.organisation.clone();
            self.route = other.route.clone();
        }
        other.crashes.iter().for_each(|crash| self.add_crash(crash.clone()));
        self.trials = self.trials.max(other.trials);
    }

    /// Returns the number of crashes that nothing refutes.
    pub fn unrefuted_crashes(&self) -> usize {
        self.crashes.iter().filter(|crash| !crash.refuted).count()
    }

    /// Whether a trial of the quarantined request may end one more target.
    pub fn may_be_tried(&self) -> bool {
        self.unrefuted_crashes() < CRASH_BUDGET
    }

    /// Whether the request must be kept away from targets.
    ///
    /// A run that has completed refutes only the crashes before it: a request may begin to end
    /// targets that it did not end before.
    pub fn is_quarantined(&self) -> bool {
        self.unrefuted_crashes() >= CRASHES_MAX
    }
}
