use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_records::{RecordTable, RecordWrite, StoredRecord, WriteOutcome};
use celeryhaven_types::TimeMs;
use celeryhaven_types::store::ObjectVersion;

use crate::{Crash, CrashRecord, RequestDigest, Standing, Standings};

/// A write of a record.
pub type QuarantineWrite = RecordWrite<RequestDigest, CrashRecord>;

/// Pauses before the trials of a quarantined request, in milliseconds.
///
/// A trial shows whether a request was quarantined by coincidence. There are few, because each may
/// end a target.
const TRIAL_PAUSES_MS: [u64; 2] = [5_000, 30_000];

/// How long the record of a request that is not quarantined is kept, in milliseconds.
const SUSPECT_RETENTION_MS: u64 = 2 * 60 * 1_000;

/// How long the record of a quarantined request is kept, in milliseconds.
const QUARANTINE_RETENTION_MS: u64 = 30 * 60 * 1_000;

/// Maximum number of records in the store, and of unwritten reports of one node.
const RECORDS_MAX: usize = 256;

/// Pause before a failed write is repeated, in milliseconds; it doubles with each failure up to the
/// maximum, which leaves time to tell all nodes within three seconds of the store's return.
const WRITE_RETRY_MS: u64 = 400;
const WRITE_RETRY_DOUBLINGS_MAX: u32 = 2;

/// What this node has to add to a record.
#[derive(Clone, Debug)]
struct Unwritten {
    addition: CrashRecord,
    is_being_written: bool,
    failures: u32,
    retry_at: TimeMs,
}

/// The requests that were running when targets ended, as one node knows them.
///
/// The records are in the store, where they outlive every node. A node follows them, adds its own
/// reports by conditional writes, and acts on its reports before they are written.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    stored: RecordTable<RequestDigest, CrashRecord>,
    unwritten: BTreeMap<RequestDigest, Unwritten>,
    /// Records that this node is removing.
    deleting: BTreeMap<RequestDigest, TimeMs>,
    /// Reports that found no room in the store.
    without_room: Vec<RequestDigest>,
    /// When this node learned of each crash.
    learned: BTreeMap<RequestDigest, Vec<LearnedCrash>>,
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
    pub fn stored_mut(&mut self) -> &mut RecordTable<RequestDigest, CrashRecord> {
        &mut self.stored
    }

    /// Returns the record of a request, with this node's own reports.
    pub fn record(&self, digest: RequestDigest) -> Option<CrashRecord> {
        let stored = self.stored.get(&digest).map(|stored| stored.record.clone());
        let Some(unwritten) = self.unwritten.get(&digest) else { return stored };
        let mut record = stored.unwrap_or_default();
        record.merge(&unwritten.addition);
        Some(record)
    }

    /// Returns the standing of every request that has one.
    pub fn standings(&self) -> Standings {
        let digests = self.stored.iter().map(|(digest, _)| digest).chain(self.unwritten.keys());
        digests.filter_map(|digest| Some((*digest, self.standing(*digest)?))).collect()
    }

    /// Notes when this node has learned of the crashes that it knows by now.
    pub fn note_learned(&mut self, now: TimeMs) {
        let digests = self.stored.iter().map(|(digest, _)| *digest);
        let digests: BTreeSet<_> = digests.chain(self.unwritten.keys().copied()).collect();
        self.learned.retain(|digest, _| digests.contains(digest));
        for digest in digests {
            let Some(record) = self.record(digest) else { continue };
            let learned = self.learned.entry(digest).or_default();
            learned.retain(|known| record.crashes.iter().any(|c| c.is_same_as(&known.crash)));
            for crash in record.crashes {
                if !learned.iter().any(|known| known.crash.is_same_as(&crash)) {
                    learned.push(LearnedCrash { crash, at: now });
                }
            }
        }
    }

    /// Returns what the completion of a run that began at `sent_at` adds to the record of its request;
    /// `None` if it refutes nothing.
    pub fn refutation(&self, digest: RequestDigest, sent_at: TimeMs) -> Option<CrashRecord> {
        let record = self.record(digest)?;
        let learned = self.learned.get(&digest)?;
        let is_known = |crash: &Crash| {
            let mut known = learned.iter().filter(|known| known.at <= sent_at);
            known.any(|known| known.crash.is_same_as(crash))
        };
        let refuted = record.crashes.into_iter().filter(|crash| !crash.refuted && is_known(crash));
        let crashes: Vec<_> = refuted.map(|crash| Crash { refuted: true, ..crash }).collect();
        (!crashes.is_empty()).then(|| CrashRecord { crashes, ..CrashRecord::default() })
    }

    fn standing(&self, digest: RequestDigest) -> Option<Standing> {
        let record = self.record(digest)?;
        if record.unrefuted_crashes() == 0 {
            return None;
        }
        if !record.is_quarantined() {
            return Some(Standing::Suspected);
        }
        let pause_ms = TRIAL_PAUSES_MS.get(record.trials as usize);
        let pause_ms = pause_ms.filter(|_| record.may_be_tried());
        let seen_at = self.stored.get(&digest).map(|stored| stored.seen_at);
        let trial_at = seen_at.zip(pause_ms).map(|(at, pause_ms)| at.after(*pause_ms));
        Some(Standing::Quarantined { trial_at })
    }

    /// Adds what this node has seen of a request; returns whether it is remembered.
    ///
    /// While too many reports are unwritten, further ones are dropped.
    pub fn report(&mut self, now: TimeMs, digest: RequestDigest, addition: &CrashRecord) -> bool {
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

    /// Returns the write that claims a trial of a quarantined request, if one is due.
    ///
    /// The write succeeds at one node only, however many nodes claim the same trial.
    pub fn claim_trial(&self, now: TimeMs, digest: RequestDigest) -> Option<QuarantineWrite> {
        let Standing::Quarantined { trial_at: Some(trial_at) } = self.standing(digest)? else {
            return None;
        };
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

    /// Removes the records of requests that are not quarantined, if there are too many: those with
    /// the fewest crashes and of these the oldest.
    ///
    /// A flood of distinct requests must not make the fleet forget a guilty one.
    fn make_room(&mut self, now: TimeMs, created: usize, writes: &mut Vec<QuarantineWrite>) {
        let excess = (self.stored.len() + created).saturating_sub(RECORDS_MAX).min(created);
        let suspects = self.stored.iter().filter(|(_, stored)| !stored.record.is_quarantined());
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

    /// Removes and returns the requests whose reports have found no room in the store.
    pub fn take_without_room(&mut self) -> Vec<RequestDigest> {
        std::mem::take(&mut self.without_room)
    }

    fn remove_expired(&mut self, now: TimeMs, writes: &mut Vec<QuarantineWrite>) {
        let is_expired = |stored: &StoredRecord<CrashRecord>| {
            let retention_ms = match stored.record.is_quarantined() {
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
        digest: RequestDigest,
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
