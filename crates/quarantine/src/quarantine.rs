use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use celeryhaven_records::{RecordTable, RecordWrite, StoredRecord, WriteOutcome};
use celeryhaven_types::store::ObjectVersion;
use celeryhaven_types::{TimeMs, VmName};

use crate::crash_record::Explained;
use crate::{CauseDigest, Crash, CrashRecord, Standing, Standings};

/// A write of a record.
pub type QuarantineWrite = RecordWrite<CauseDigest, CrashRecord>;

/// Pauses before the trials of a quarantined cause, in milliseconds.
///
/// A trial shows whether a cause was quarantined by coincidence. There are few, because each may
/// end a target.
const TRIAL_PAUSES_MS: [u64; 2] = [5_000, 30_000];

/// How long the record of a cause that is not quarantined is kept, in milliseconds.
const SUSPECT_RETENTION_MS: u64 = 2 * 60 * 1_000;

/// How long the record of a quarantined cause is kept, in milliseconds.
const QUARANTINE_RETENTION_MS: u64 = 30 * 60 * 1_000;

/// Maximum number of records in the store, and of unwritten reports of one node.
const RECORDS_MAX: usize = 256;

/// Pause before a failed write is repeated, in milliseconds; it doubles with each failure up to the
/// maximum, which leaves time to tell all nodes within three seconds of the store's return.
const WRITE_RETRY_MS: u64 = 400;
const WRITE_RETRY_DOUBLINGS_MAX: u32 = 2;

/// How long a node remembers what others have told it and the store does not hold, in milliseconds.
const TOLD_RETENTION_MS: u64 = 60 * 1_000;

/// What this node has to add to a record.
#[derive(Clone, Debug)]
struct Unwritten {
    addition: CrashRecord,
    is_being_written: bool,
    failures: u32,
    retry_at: TimeMs,
}

/// What was running when targets ended, as one node knows it.
///
/// The records are in the store, where they outlive every node. A node follows them, adds its own
/// reports by conditional writes, and acts on its reports, and on those that other nodes tell it, before
/// they are written.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    stored: RecordTable<CauseDigest, CrashRecord>,
    unwritten: BTreeMap<CauseDigest, Unwritten>,
    /// What other nodes have told this one, until the store holds it or until a time.
    told: BTreeMap<CauseDigest, (CrashRecord, TimeMs)>,
    /// Records that this node is removing.
    deleting: BTreeMap<CauseDigest, TimeMs>,
    /// Reports that found no room in the store.
    without_room: Vec<CauseDigest>,
    /// When this node learned of each crash.
    learned: BTreeMap<CauseDigest, Vec<LearnedCrash>>,
}

/// When this node learned of a crash.
#[derive(Clone, Debug)]
struct LearnedCrash {
    crash: Crash,
    at: TimeMs,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the records of the store, to be updated from what the store holds.
    pub fn stored_mut(&mut self) -> &mut RecordTable<CauseDigest, CrashRecord> {
        &mut self.stored
    }

    /// Returns the record of a cause, with this node's own reports and those that others have told it.
    pub fn record(&self, digest: CauseDigest) -> Option<CrashRecord> {
        let stored = self.stored.get(&digest).map(|stored| &stored.record);
        let unwritten = self.unwritten.get(&digest).map(|unwritten| &unwritten.addition);
        let told = self.told.get(&digest).map(|(told, _)| told);
        let known = stored.into_iter().chain(unwritten).chain(told);
        known.cloned().reduce(|mut record, addition| {
            record.merge(&addition);
            record
        })
    }

    /// Applies what another node has seen of a cause, which that node writes to the store.
    ///
    /// While too much is remembered, it is dropped.
    pub fn learn(&mut self, now: TimeMs, digest: CauseDigest, addition: &CrashRecord) {
        if self.told.len() < RECORDS_MAX || self.told.contains_key(&digest) {
            let (told, until) = self.told.entry(digest).or_default();
            told.merge(addition);
            *until = now.after(TOLD_RETENTION_MS);
        }
    }

    /// Forgets what others have told this node once the store holds it.
    fn forget_told(&mut self, now: TimeMs) {
        let stored = &self.stored;
        self.told.retain(|digest, (told, until)| {
            let is_stored = stored.get(digest).is_some_and(|known| {
                let mut record = known.record.clone();
                record.merge(told);
                record == known.record
            });
            !is_stored && *until > now
        });
    }

    /// Returns the standing of every cause that has one.
    pub fn standings(&self) -> Standings {
        let records = self.records();
        let quarantined = quarantined(&records);
        let standing = |(digest, record): &(CauseDigest, CrashRecord)| {
            let standing = match quarantined.contains(digest) {
                true => Standing::Quarantined { trial_at: self.trial_at(*digest, record) },
                false => Standing::Suspected,
            };
            (record.unrefuted_crashes() > 0).then_some((*digest, standing))
        };
        records.iter().filter_map(standing).collect()
    }

    /// Whether the end of a target is explained by a quarantined cause other than this one.
    pub fn is_explained(&self, digest: CauseDigest, crash: &Crash) -> bool {
        let records = self.records();
        let quarantined = quarantined(&records);
        let mut others = records.iter().filter(|(other, _)| *other != digest);
        others.any(|(other, record)| {
            quarantined.contains(other) && record.crashes.iter().any(|c| c.is_same_as(crash))
        })
    }

    fn records(&self) -> Vec<(CauseDigest, CrashRecord)> {
        let stored = self.stored.iter().map(|(digest, _)| *digest);
        let own = self.unwritten.keys().chain(self.told.keys());
        let digests: BTreeSet<_> = stored.chain(own.copied()).collect();
        digests.into_iter().filter_map(|digest| Some((digest, self.record(digest)?))).collect()
    }

    fn trial_at(&self, digest: CauseDigest, record: &CrashRecord) -> Option<TimeMs> {
        let pause_ms = TRIAL_PAUSES_MS.get(record.trials_spent()? as usize)?;
        Some(self.stored.get(&digest)?.seen_at.after(*pause_ms))
    }

    /// Notes that this node has seen a crash itself.
    pub fn note_seen(&mut self, at: TimeMs, digest: CauseDigest, crash: &Crash) {
        let learned = self.learned.entry(digest).or_default();
        if !learned.iter().any(|known| known.crash.is_same_as(crash)) {
            learned.push(LearnedCrash { crash: crash.clone(), at });
        }
    }

    /// Notes when this node has learned of the crashes that it knows by now.
    pub fn note_learned(&mut self, now: TimeMs) {
        self.forget_told(now);
        let records: BTreeMap<_, _> = self.records().into_iter().collect();
        self.learned.retain(|digest, _| records.contains_key(digest));
        for (digest, record) in records {
            let learned = self.learned.entry(digest).or_default();
            learned.retain(|known| record.crashes.iter().any(|c| c.is_same_as(&known.crash)));
            for crash in record.crashes {
                if !learned.iter().any(|known| known.crash.is_same_as(&crash)) {
                    learned.push(LearnedCrash { crash, at: now });
                }
            }
        }
    }

    /// Returns what the completion of a run that began at `sent_at` adds to the record of a cause that
    /// it held; `None` if it adds nothing.
    ///
    /// It refutes the crashes that were known when it began, and outlives the others.
    pub fn refutation(&self, digest: CauseDigest, sent_at: TimeMs) -> Option<CrashRecord> {
        let record = self.record(digest)?;
        let learned = self.learned.get(&digest)?;
        let is_known = |crash: &Crash| {
            let mut known = learned.iter().filter(|known| known.at <= sent_at);
            known.any(|known| known.crash.is_same_as(crash))
        };
        let open = record.crashes.into_iter().filter(|crash| !crash.refuted);
        let judged = open.filter_map(|crash| match (is_known(&crash), crash.outlived) {
            (true, _) => Some(Crash { refuted: true, ..crash }),
            (false, false) => Some(Crash { outlived: true, ..crash }),
            (false, true) => None,
        });
        let crashes: Vec<_> = judged.collect();
        let trials_passed =
            if crashes.iter().any(|crash| crash.refuted) { record.trials } else { 0 };
        let addition = CrashRecord { crashes, trials_passed, ..CrashRecord::default() };
        (!addition.crashes.is_empty()).then_some(addition)
    }

    /// Returns what the records lack once it is known that a process has not ended.
    pub fn retraction(
        &self,
        target: &VmName,
        started_at_ms: Option<u64>,
    ) -> Vec<(CauseDigest, CrashRecord)> {
        let is_wrong = |crash: &Crash| {
            !crash.refuted && &crash.target == target && crash.started_at_ms == started_at_ms
        };
        let records = self.records().into_iter();
        let retracted = records.filter_map(|(digest, record)| {
            let crash = record.crashes.into_iter().find(is_wrong)?;
            let crashes = vec![Crash { refuted: true, ..crash }];
            Some((digest, CrashRecord { crashes, ..CrashRecord::default() }))
        });
        retracted.collect()
    }

    /// Adds what this node has seen of a cause; returns whether it is remembered.
    ///
    /// While too many reports are unwritten, further ones are dropped.
    pub fn report(&mut self, now: TimeMs, digest: CauseDigest, addition: &CrashRecord) -> bool {
        if self.unwritten.len() >= RECORDS_MAX && !self.unwritten.contains_key(&digest) {
            return false;
        }
        let unwritten = self.unwritten.entry(digest).or_insert_with(|| Unwritten {
            addition: CrashRecord::default(),
            is_being_written: false,
            failures: 0,
            retry_at: now,
        });
        unwritten.addition.merge(addition);
        true
    }

    /// Returns the write that claims a trial of a quarantined cause, if one is due.
    ///
    /// The write succeeds at one node only, however many nodes claim the same trial.
    pub fn claim_trial(&self, now: TimeMs, digest: CauseDigest) -> Option<QuarantineWrite> {
        let standing = self.standings().remove(&digest)?;
        let Standing::Quarantined { trial_at: Some(trial_at) } = standing else { return None };
        let stored = self.stored.get(&digest).filter(|_| trial_at <= now)?;
        let record = CrashRecord { trials: stored.record.trials + 1, ..stored.record.clone() };
        Some(RecordWrite::Put { key: digest, version: Some(stored.version), record })
    }

    /// Returns the writes that are due; `removes_expired` holds at the node that cleans up.
    pub fn due_writes(&mut self, now: TimeMs, removes_expired: bool) -> Vec<QuarantineWrite> {
        let mut writes = Vec::new();
        let stored = &self.stored;
        self.unwritten.retain(|digest, unwritten| {
            let known = stored.get(digest);
            let mut record = known.map(|known| known.record.clone()).unwrap_or_default();
            record.merge(&unwritten.addition);
            let adds_nothing = known.is_some_and(|known| known.record == record);
            // Only a record that exists needs to be told that its request has completed.
            if adds_nothing || (known.is_none() && record.unrefuted_crashes() == 0) {
                return unwritten.is_being_written;
            }
            if !unwritten.is_being_written && unwritten.retry_at <= now {
                unwritten.is_being_written = true;
                let version = known.map(|known| known.version);
                writes.push(RecordWrite::Put { key: *digest, version, record });
            }
            true
        });
        let created = writes.iter().filter(|write| stored.get(write.key()).is_none()).count();
        self.make_room(now, created, &mut writes);
        if removes_expired {
            self.remove_expired(now, &mut writes);
        }
        writes
    }

    /// Removes the records of causes that are not quarantined, if there are too many: those with
    /// the fewest crashes and of these the oldest.
    ///
    /// A flood of distinct causes must not make the fleet forget a guilty one.
    fn make_room(&mut self, now: TimeMs, created: usize, writes: &mut Vec<QuarantineWrite>) {
        let excess = (self.stored.len() + created).saturating_sub(RECORDS_MAX).min(created);
        let suspects = self.stored.iter().filter(|(_, stored)| !stored.record.is_implicated());
        let suspects = suspects.map(|(digest, stored)| {
            let StoredRecord { version, record, seen_at } = stored;
            (record.unrefuted_crashes(), *seen_at, *digest, *version)
        });
        let mut suspects: Vec<_> = suspects.collect();
        suspects.sort();
        let removed = suspects.len().min(excess);
        for (_, _, digest, version) in suspects.into_iter().take(removed) {
            self.delete(now, digest, version, writes);
        }
        // Without room, only the reporting node acts on a new report.
        let mut missing = excess - removed;
        writes.retain(|write| {
            let is_dropped = missing > 0 && self.stored.get(write.key()).is_none();
            if is_dropped {
                missing -= 1;
                self.without_room.push(*write.key());
                if let Some(unwritten) = self.unwritten.get_mut(write.key()) {
                    unwritten.is_being_written = false;
                    unwritten.retry_at = now.after(SUSPECT_RETENTION_MS);
                }
            }
            !is_dropped
        });
    }

    /// Removes and returns the causes whose reports have found no room in the store.
    pub fn take_without_room(&mut self) -> Vec<CauseDigest> {
        std::mem::take(&mut self.without_room)
    }

    fn remove_expired(&mut self, now: TimeMs, writes: &mut Vec<QuarantineWrite>) {
        let is_expired = |stored: &StoredRecord<CrashRecord>| {
            let retention_ms = match stored.record.is_implicated() {
                true => QUARANTINE_RETENTION_MS,
                false => SUSPECT_RETENTION_MS,
            };
            now.since(stored.seen_at) >= retention_ms
        };
        let expired = self.stored.iter().filter(|(_, stored)| is_expired(stored));
        let expired: Vec<_> = expired.map(|(digest, stored)| (*digest, stored.version)).collect();
        for (digest, version) in expired {
            self.delete(now, digest, version, writes);
        }
    }

    fn delete(
        &mut self,
        now: TimeMs,
        digest: CauseDigest,
        version: ObjectVersion,
        writes: &mut Vec<QuarantineWrite>,
    ) {
        self.deleting.retain(|_, until| *until > now);
        if self.deleting.insert(digest, now.after(WRITE_RETRY_MS)).is_none() {
            writes.push(RecordWrite::Delete { key: digest, version });
        }
    }

    /// Applies the outcome of a write.
    pub fn written(
        &mut self,
        now: TimeMs,
        write: &QuarantineWrite,
        outcome: WriteOutcome<CrashRecord>,
    ) {
        if let (RecordWrite::Put { .. }, Some(unwritten)) =
            (write, self.unwritten.get_mut(write.key()))
        {
            unwritten.is_being_written = false;
            if outcome == WriteOutcome::Failed {
                let doublings = unwritten.failures.min(WRITE_RETRY_DOUBLINGS_MAX);
                unwritten.retry_at = now.after(WRITE_RETRY_MS << doublings);
                unwritten.failures += 1;
            }
        }
        self.stored.apply_write(now, write, outcome);
    }
}

/// Returns the causes to be quarantined: the likeliest one first, and then those with enough crashes
/// that the ones before do not explain.
fn quarantined(records: &[(CauseDigest, CrashRecord)]) -> BTreeSet<CauseDigest> {
    let (mut quarantined, mut explained) = (BTreeSet::new(), Explained::default());
    let weighed = |index: usize, explained: &Explained| {
        let (digest, record) = &records[index];
        Some((record.weight(explained)?, Reverse(*digest), index))
    };
    let mut heap: BinaryHeap<_> =
        (0..records.len()).filter_map(|index| weighed(index, &explained)).collect();
    while let Some(candidate) = heap.pop() {
        let index = candidate.2;
        // What others explain only takes weight away.
        match weighed(index, &explained) {
            Some(current) if current == candidate => {
                quarantined.insert(records[index].0);
                explained.extend(records[index].1.crashes.iter().map(Crash::process));
            }
            lighter => heap.extend(lighter),
        }
    }
    quarantined
}
