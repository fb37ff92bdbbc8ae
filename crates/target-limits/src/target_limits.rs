use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_derives::state;
use celeryhaven_records::{RecordTable, RecordWrite, WriteOutcome};
use celeryhaven_types::{TimeMs, VmName};

use crate::{LimitRecord, NodeView, Position, TargetLimit};

/// How long a node acts on what a target told it while the store holds no record, in milliseconds.
///
/// It grows with the number of nodes, since each of them asks the target once in this time.
const UNRECORDED_MS_MIN: u64 = 10_000;
const UNRECORDED_MS_PER_NODE: u64 = 1_250;

/// Delay of a record's first write per rank of the node, and its maximum, in milliseconds.
///
/// All nodes learn of a limit at about the same time, and one record is enough.
const CREATE_DELAY_MS_PER_RANK: u64 = 150;
const CREATE_DELAY_MS_MAX: u64 = 1_500;

/// Shortest interval between two writes of one record, in milliseconds.
const WRITE_INTERVAL_MS: u64 = 1_000;

/// Relative change of a rate from which its record is written again.
const RATE_CHANGE_MIN: f64 = 0.1;

/// How long the record of a target that is not listed is kept, in milliseconds.
const UNLISTED_RETENTION_MS: u64 = 30_000;

/// A write of a record.
pub type LimitWrite = RecordWrite<VmName, LimitRecord>;

state! {
    /// What a target has told this node.
    #[derive(Copy)]
    struct Observation {
        started_at_ms: Option<u64>,
        /// The named rate; `None` if an answer named none.
        rate_per_s: Option<f64>,
        at: TimeMs,
        /// When the target first named a limit to this node.
        since: TimeMs,
        /// Whether the store has held a record since.
        is_recorded: bool,
        is_being_written: bool,
        write_at: TimeMs,
    }
}

state! {
    /// A target that bears few requests for some time after its start.
    #[derive(Copy)]
    struct ColdTarget {
        started_at_ms: Option<u64>,
        since: TimeMs,
        until: TimeMs,
    }
}

impl Observation {
    /// Whether a record holds what the target has named.
    fn is_same_as(&self, record: &LimitRecord) -> bool {
        record.started_at_ms == self.started_at_ms
            && self.rate_per_s.is_some_and(|rate_per_s| {
                (record.rate_per_s - rate_per_s).abs() <= rate_per_s * RATE_CHANGE_MIN
            })
    }
}

/// The limited targets, as one node knows them.
#[derive(Clone, Debug, Default)]
pub struct TargetLimits {
    stored: RecordTable<VmName, LimitRecord>,
    observed: BTreeMap<VmName, Observation>,
    cold: BTreeMap<VmName, ColdTarget>,
}

impl TargetLimits {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the records of the store, to be updated from what the store holds.
    pub fn stored_mut(&mut self) -> &mut RecordTable<VmName, LimitRecord> {
        &mut self.stored
    }

    /// Records what an answer of a target named: a rate, or none.
    pub fn observe(
        &mut self,
        now: TimeMs,
        target: &VmName,
        started_at_ms: Option<u64>,
        rate_per_s: Option<f64>,
    ) {
        let new = Observation {
            started_at_ms,
            rate_per_s,
            at: now,
            since: now,
            is_recorded: false,
            is_being_written: false,
            write_at: now,
        };
        let observation = self.observed.entry(target.clone()).or_insert(new);
        let since = match observation.rate_per_s.is_some() && rate_per_s.is_some() {
            true => observation.since,
            false => now,
        };
        let is_recorded = false;
        *observation =
            Observation { started_at_ms, rate_per_s, at: now, since, is_recorded, ..*observation };
    }

    /// Records how much longer a listed target is cold; 0 if it is not.
    ///
    /// All nodes learn this from the target's entry, so it needs no record.
    pub fn set_cold(
        &mut self,
        now: TimeMs,
        target: &VmName,
        started_at_ms: Option<u64>,
        cold_ms: u64,
    ) {
        if cold_ms == 0 {
            self.cold.remove(target);
            return;
        }
        let until = now.after(cold_ms);
        let new = ColdTarget { started_at_ms, since: now, until };
        let cold = self.cold.entry(target.clone()).or_insert(new);
        let since = if cold.started_at_ms == started_at_ms { cold.since } else { now };
        *cold = ColdTarget { since, ..new };
    }

    /// Forgets what a target has told this node once its record is gone: another node has seen the
    /// end of the limit.
    fn forget_ended(&mut self) {
        let stored = &self.stored;
        self.observed.retain(|target, observation| {
            let record = stored.get(target);
            // An answer under way when the record arrived names the same limit a little later.
            observation.is_recorded |= record.is_some_and(|stored| {
                stored.seen_at >= observation.at || observation.is_same_as(&stored.record)
            });
            record.is_some() || !observation.is_recorded
        });
    }

    /// Returns the limits that hold now.
    pub fn limits(&mut self, now: TimeMs, view: &impl NodeView) -> BTreeMap<VmName, TargetLimit> {
        self.forget_ended();
        self.cold.retain(|_, cold| now < cold.until);
        let stored = self.stored.iter().map(|(target, _)| target);
        let targets: BTreeSet<&VmName> =
            stored.chain(self.observed.keys()).chain(self.cold.keys()).collect();
        targets
            .into_iter()
            .filter_map(|target| Some((target.clone(), self.limit(now, target, view)?)))
            .collect()
    }

    fn limit(&self, now: TimeMs, target: &VmName, view: &impl NodeView) -> Option<TargetLimit> {
        let started_at_ms = view.started_at_ms(target)?;
        let cold = self.cold.get(target).filter(|cold| cold.started_at_ms == started_at_ms);
        let cold = cold.and_then(|cold| Some((view.cold_rate_per_s(target)?, cold.since)));
        let is_named = self.observed.contains_key(target) || self.stored.get(target).is_some();
        if !is_named && cold.is_none() {
            return None;
        }
        let position = view.position(target);
        let named = self.named_limit(now, target, started_at_ms, position);
        let since = [named, cold].into_iter().flatten().map(|(_, since)| since).max()?;
        let (named, cold) = (named.map(|(rate, _)| rate), cold.map(|(rate, _)| rate));
        Some(TargetLimit::new(named, cold, position, since))
    }

    /// Returns the rate that a target has named, and since when this node knows it.
    fn named_limit(
        &self,
        now: TimeMs,
        target: &VmName,
        started_at_ms: Option<u64>,
        position: Position,
    ) -> Option<(f64, TimeMs)> {
        let observation = self.observed.get(target);
        let stored = self.stored.get(target);
        let (record, since) = match (observation, stored) {
            (Some(observation), Some(stored)) if observation.at < stored.seen_at => {
                (stored.record, stored.seen_at)
            }
            (Some(observation), _) => {
                let lifetime_ms = unrecorded_ms(position.nodes);
                let is_expired = stored.is_none() && now.since(observation.at) >= lifetime_ms;
                let rate_per_s = observation.rate_per_s.filter(|_| !is_expired)?;
                let started_at_ms = observation.started_at_ms;
                (LimitRecord { started_at_ms, rate_per_s }, observation.at)
            }
            (None, Some(stored)) => (stored.record, stored.seen_at),
            (None, None) => return None,
        };
        (record.started_at_ms == started_at_ms).then_some((record.rate_per_s, since))
    }

    /// Returns the writes that are due; `removes_expired` holds at the node that cleans up.
    pub fn due_writes(
        &mut self,
        now: TimeMs,
        view: &impl NodeView,
        removes_expired: bool,
    ) -> Vec<LimitWrite> {
        self.forget_ended();
        let mut writes = Vec::new();
        let stored = &self.stored;
        self.observed.retain(|target, observation| {
            if observation.is_being_written {
                return true;
            }
            let Some(write) = due_write(now, target, observation, stored, view) else {
                let is_needed = observation.rate_per_s.is_some() || stored.get(target).is_some();
                return is_needed && view.started_at_ms(target) == Some(observation.started_at_ms);
            };
            if now >= observation.write_at {
                observation.is_being_written = true;
                observation.write_at = now.after(WRITE_INTERVAL_MS);
                writes.push(write);
            }
            true
        });
        if removes_expired {
            let expired = self.stored.iter().filter(|(target, stored)| {
                let is_listed = view.started_at_ms(target) == Some(stored.record.started_at_ms);
                !is_listed && now.since(stored.seen_at) >= UNLISTED_RETENTION_MS
            });
            writes.extend(expired.map(|(target, stored)| RecordWrite::Delete {
                key: target.clone(),
                version: stored.version,
            }));
        }
        writes
    }

    /// Applies the outcome of a write.
    pub fn written(&mut self, now: TimeMs, write: &LimitWrite, outcome: WriteOutcome<LimitRecord>) {
        if let Some(observation) = self.observed.get_mut(write.key()) {
            observation.is_being_written = false;
        }
        self.stored.apply_write(now, write, outcome);
    }
}

/// Returns the write that makes the record of a target what the target told this node.
fn due_write(
    now: TimeMs,
    target: &VmName,
    observation: &Observation,
    stored: &RecordTable<VmName, LimitRecord>,
    view: &impl NodeView,
) -> Option<LimitWrite> {
    let stored = stored.get(target);
    if stored.is_some_and(|stored| observation.at < stored.seen_at) {
        return None;
    }
    let Some(rate_per_s) = observation.rate_per_s else {
        let version = stored?.version;
        return Some(RecordWrite::Delete { key: target.clone(), version });
    };
    let record = LimitRecord { started_at_ms: observation.started_at_ms, rate_per_s };
    let delay_ms = (view.position(target).rank as u64).saturating_mul(CREATE_DELAY_MS_PER_RANK);
    let is_due = match stored {
        None => now.since(observation.since) >= delay_ms.min(CREATE_DELAY_MS_MAX),
        Some(stored) => !observation.is_same_as(&stored.record),
    };
    let version = stored.map(|stored| stored.version);
    is_due.then(|| RecordWrite::Put { key: target.clone(), version, record })
}

fn unrecorded_ms(nodes: usize) -> u64 {
    UNRECORDED_MS_MIN.max(nodes as u64 * UNRECORDED_MS_PER_NODE)
}
