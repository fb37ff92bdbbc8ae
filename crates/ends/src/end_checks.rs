use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::{NodeName, TimeMs};

use crate::end_check::EndCheck;
use crate::{EndVerdict, Finding, Listing, TargetProcess};

/// Maximum number of checks under way.
const CHECKS_MAX: usize = 256;

/// Ends within this time, in milliseconds, that together are more than one cause brings about: the
/// paths to the targets are likelier to be lost.
const MASS_MS: u64 = 250;
const MASS_ENDS: usize = 6;

/// Time for which ends that came together stay in doubt unless the list settles them, in milliseconds.
const DOUBT_MS: u64 = 6_500;

/// The checks whether targets have ended, one for each process.
///
/// Where paths reset, many targets refuse connections at once, of all nodes that lack a path. While
/// such refusals are in doubt, only the platform's list settles whether a target has ended.
///
/// ```
/// use celeryhaven_ends::{EndChecks, EndVerdict, Evidence, Finding, TargetProcess};
/// use celeryhaven_types::{NodeName, TimeMs, VmName};
///
/// let process = TargetProcess { name: VmName::new("vm-1"), started_at_ms: Some(1) };
/// let (now, peer) = (TimeMs::new(0), NodeName::new("node-2"));
/// let mut checks = EndChecks::new();
/// checks.begin(now, &process, Finding::Refused, true);
/// assert_eq!(checks.take_due(now).len(), 1);
/// checks.asked(&process, 1);
/// assert!(checks.take_verdicts(now).is_empty());
/// // The connection was reset on the way: a peer reaches the target.
/// checks.answered(now, &process, &peer, Some(Finding::Accepted));
/// let verdict = EndVerdict::NotEnded(Evidence::Accepted);
/// assert_eq!(checks.take_verdicts(now), [(process, verdict)]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndChecks {
    checks: BTreeMap<TargetProcess, EndCheck>,
    /// Processes that other nodes check and were refused by, and when they first asked.
    heard: BTreeMap<TargetProcess, TimeMs>,
    /// Processes that may have ended together, and when that was found.
    in_doubt: BTreeMap<TargetProcess, TimeMs>,
}

impl EndChecks {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins a check, or adds to the one under way, with what this node has found; its verdict is due
    /// again. Returns false if too many checks are under way.
    ///
    /// `is_broken` tells whether a connection to the target broke, rather than being given up.
    pub fn begin(
        &mut self,
        now: TimeMs,
        process: &TargetProcess,
        own: Finding,
        is_broken: bool,
    ) -> bool {
        if self.checks.len() >= CHECKS_MAX && !self.checks.contains_key(process) {
            return false;
        }
        let check = self.checks.entry(process.clone()).or_insert_with(|| EndCheck::new(now));
        check.record_own(now, own, is_broken);
        check.taken = None;
        true
    }

    /// Records that another node checks a process, which has refused it a connection.
    pub fn heard(&mut self, now: TimeMs, process: &TargetProcess) {
        if self.heard.len() < CHECKS_MAX {
            self.heard.entry(process.clone()).or_insert(now);
        }
    }

    /// Records that a process goes on that another node checks.
    pub fn settle_heard(&mut self, process: &TargetProcess) {
        self.heard.remove(process);
        self.in_doubt.remove(process);
    }

    /// Records what this node has found since a check began.
    pub fn found(&mut self, now: TimeMs, process: &TargetProcess, finding: Finding) {
        if let Some(check) = self.checks.get_mut(process) {
            check.record_own(now, finding, false);
        }
    }

    /// Begins the rounds of questions that are due; returns their processes, and whether this node has
    /// to connect again too.
    pub fn take_due(&mut self, now: TimeMs) -> Vec<(TargetProcess, bool)> {
        let checks = self.checks.iter_mut();
        let due = checks.filter_map(|(process, check)| {
            check.begin_round(now).then(|| (process.clone(), check.is_repeated()))
        });
        due.collect()
    }

    /// Records how many peers are asked in a round.
    pub fn asked(&mut self, process: &TargetProcess, peers: usize) {
        if let Some(check) = self.checks.get_mut(process) {
            check.set_asked(peers);
        }
    }

    /// Records what a peer has found; `None` if it has not answered.
    pub fn answered(
        &mut self,
        now: TimeMs,
        process: &TargetProcess,
        node: &NodeName,
        finding: Option<Finding>,
    ) {
        if let Some(check) = self.checks.get_mut(process) {
            check.record_peer(now, node, finding);
        }
    }

    /// Looks up what the platform lists of each process.
    pub fn look_up(&mut self, now: TimeMs, listing: impl Fn(&TargetProcess) -> Listing) {
        let checks = self.checks.iter_mut();
        checks.for_each(|(process, check)| check.record_listing(now, listing(process)));
        let is_listed = |process: &TargetProcess| {
            !matches!(listing(process), Listing::Restarted | Listing::Missing)
        };
        self.heard.retain(|process, at| now.since(*at) < DOUBT_MS && is_listed(process));
        self.in_doubt.retain(|process, at| now.since(*at) < DOUBT_MS && is_listed(process));
    }

    /// Whether so many targets may have ended together that refusals are in doubt.
    fn is_doubtful(&mut self, now: TimeMs) -> bool {
        let checks = &self.checks;
        self.in_doubt.retain(|process, _| {
            checks.get(process).is_none_or(|check| check.may_have_ended(now, DOUBT_MS))
        });
        let own = checks.iter().filter(|(_, check)| check.may_have_ended(now, MASS_MS));
        let heard = self.heard.iter().filter(|(_, at)| now.since(**at) < MASS_MS);
        let own = own.map(|(process, _)| process);
        let recent: BTreeSet<&TargetProcess> =
            own.chain(heard.map(|(process, _)| process)).collect();
        if recent.len() >= MASS_ENDS {
            for process in recent {
                self.in_doubt.entry(process.clone()).or_insert(now);
            }
        }
        self.in_doubt.len() >= MASS_ENDS
    }

    /// Returns the verdicts that are new, and removes the checks that have ended.
    pub fn take_verdicts(&mut self, now: TimeMs) -> Vec<(TargetProcess, EndVerdict)> {
        let mut verdicts = Vec::new();
        let is_doubtful = self.is_doubtful(now);
        self.checks.retain(|process, check| {
            if is_doubtful {
                check.reopen(now);
            }
            let verdict = check.verdict(now, is_doubtful);
            if let Some(verdict) = verdict.filter(|_| verdict != check.taken) {
                check.taken = Some(verdict);
                verdicts.push((process.clone(), verdict));
            }
            !check.has_expired(now)
        });
        verdicts
    }

    /// Whether a process is checked, or its check has ended lately.
    pub fn contains(&self, process: &TargetProcess) -> bool {
        self.checks.contains_key(process)
    }

    /// Whether a node was refused a connection to a process that is checked.
    pub fn is_refused(&self, process: &TargetProcess) -> bool {
        self.checks.get(process).is_some_and(|check| check.is_refused)
    }

    /// Whether no check is under way, here or at another node.
    pub fn is_empty(&self) -> bool {
        self.checks.is_empty() && self.heard.is_empty()
    }
}
