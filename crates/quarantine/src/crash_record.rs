use std::collections::BTreeSet;

use celeryhaven_derives::{data, state};
use celeryhaven_types::{NodeName, OrganisationName, VmName};

/// Crashes after which a cause is quarantined.
///
/// A target runs many requests at once, so its end implicates all of them; only coincidence over
/// several targets tells.
pub const CRASHES_MAX: usize = 3;

/// The same for a cause that targets have run lately without ending.
const SOUND_CRASHES_MAX: usize = 5;

/// Crashes that count although another cause explains them.
///
/// Causes that end targets at the same time end some of them together. What merely runs beside a guilty
/// cause shares most of its crashes with it.
const SHARED_CRASHES_MAX: usize = 1;

/// Crashes from which on a quarantined cause is not tried again.
const CRASH_BUDGET: usize = 5;

/// Maximum number of crashes in a record.
const CRASHES_KEPT: usize = 8;

/// Processes whose ends are explained.
pub(crate) type Explained<'a> = BTreeSet<(&'a VmName, Option<u64>)>;

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
        /// Whether targets have run the cause lately without ending, as every node that reported the
        /// crash knows.
        #[serde(default)]
        pub excused: bool,
        /// Whether a run that was under way when the crash became known has completed.
        #[serde(default)]
        pub outlived: bool,
    }

    /// What is suspected.
    #[derive(Copy, Eq, PartialOrd, Ord, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum CauseKind {
        /// A part of prompts, which is the `depth`th of its prompt.
        Part {
            /// Position in the prompt; the first part has depth 0.
            depth: u32,
        },
        /// The whole content of a request.
        #[default]
        Content,
    }

    /// What the fleet knows of one cause that targets were running when they ended.
    ///
    /// Merging is idempotent, so a write whose answer was lost can be repeated.
    #[derive(Eq, Default)]
    pub struct CrashRecord {
        /// What is suspected.
        #[serde(default)]
        pub kind: CauseKind,
        /// Organisation of the caller, for operators.
        pub organisation: Option<OrganisationName>,
        /// Name of the route, for operators.
        pub route: String,
        /// The targets that ended, each once.
        pub crashes: Vec<Crash>,
        /// Number of trials that nodes have claimed.
        pub trials: u32,
        /// How many of them had been claimed when a run last completed.
        #[serde(default)]
        pub trials_passed: u32,
    }
}

impl Crash {
    /// Whether another node reports the end of the same process.
    pub(crate) fn is_same_as(&self, other: &Self) -> bool {
        self.process() == other.process()
    }

    /// Returns what identifies the process that ended.
    pub(crate) fn process(&self) -> (&VmName, Option<u64>) {
        (&self.target, self.started_at_ms)
    }
}

impl CrashRecord {
    /// Adds a crash, or what is new about it.
    ///
    /// A record that is full keeps the crashes that nothing refutes.
    pub fn add_crash(&mut self, crash: Crash) {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.is_same_as(&crash)) {
            known.refuted |= crash.refuted;
            known.excused &= crash.excused;
            known.outlived |= crash.outlived;
            return;
        }
        if self.crashes.len() >= CRASHES_KEPT {
            let refuted = self.crashes.iter().position(|known| known.refuted);
            let Some(refuted) = refuted.filter(|_| !crash.refuted) else { return };
            self.crashes.remove(refuted);
        }
        self.crashes.push(crash);
    }

    /// Adds what another record of the same cause holds.
    pub fn merge(&mut self, other: &Self) {
        if self.route.is_empty() {
            self.kind = other.kind;
            self.organisation = other.organisation.clone();
            self.route = other.route.clone();
        }
        other.crashes.iter().for_each(|crash| self.add_crash(crash.clone()));
        self.trials = self.trials.max(other.trials);
        self.trials_passed = self.trials_passed.max(other.trials_passed);
    }

    /// Returns the number of crashes that nothing refutes.
    pub fn unrefuted_crashes(&self) -> usize {
        self.crashes.iter().filter(|crash| !crash.refuted).count()
    }

    /// Returns the number of trials since a run last completed; `None` if no more targets may end for
    /// one.
    pub fn trials_spent(&self) -> Option<u32> {
        let may_end_one = self.unrefuted_crashes() < CRASH_BUDGET;
        may_end_one.then(|| self.trials.saturating_sub(self.trials_passed))
    }

    /// Whether the crashes are enough to quarantine the cause.
    ///
    /// A run that has completed refutes only the crashes before it: a cause may begin to end targets
    /// that it did not end before.
    pub fn is_implicated(&self) -> bool {
        self.weight(&Explained::default()).is_some()
    }

    /// Returns how strongly the crashes speak against the cause, other than those that are explained by
    /// another one; `None` if they do not suffice.
    ///
    /// One explained crash counts towards the number that suffices, or a second cause that ends a
    /// target together with the first would be released by the evidence against that one.
    ///
    /// Of two causes that the same requests hold, the one with more crashes is the likelier, and of
    /// equal ones the one that fewer requests hold.
    pub(crate) fn weight(&self, explained: &Explained<'_>) -> Option<CauseWeight> {
        let (shared, open): (Vec<_>, Vec<_>) = self
            .crashes
            .iter()
            .filter(|crash| !crash.refuted)
            .partition(|crash| explained.contains(&crash.process()));
        let is_unexcused = |crash: &&&Crash| !crash.excused && !crash.outlived;
        let (unexcused, total) = (open.iter().filter(is_unexcused).count(), open.len());
        let shared = shared.iter().filter(is_unexcused).count().min(SHARED_CRASHES_MAX);
        let is_enough = unexcused + shared >= CRASHES_MAX || total >= SOUND_CRASHES_MAX;
        let weight = CauseWeight { unexcused, total, kind: self.kind };
        is_enough.then_some(weight)
    }
}

state! {
    /// How strongly crashes speak against a cause; the greatest is the likeliest.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub(crate) struct CauseWeight {
        unexcused: usize,
        total: usize,
        kind: CauseKind,
    }
}
