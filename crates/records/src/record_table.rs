use std::collections::BTreeMap;

use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;
use celeryhaven_types::store::ObjectVersion;

use crate::{RecordWrite, WriteOutcome};

state! {
    /// A record as read from the store.
    pub struct StoredRecord<R> {
        /// The version of the record.
        pub version: ObjectVersion,
        /// The record.
        pub record: R,
        /// When this node first saw the version.
        pub seen_at: TimeMs,
    }
}

/// Records of one kind, each at the newest version that this node has seen.
///
/// ```
/// use celeryhaven_records::RecordTable;
/// use celeryhaven_types::TimeMs;
/// use celeryhaven_types::store::ObjectVersion;
///
/// let mut table = RecordTable::new();
/// table.put(TimeMs::new(0), "a", ObjectVersion::new(2), "new");
/// table.put(TimeMs::new(1), "a", ObjectVersion::new(1), "old");
/// assert_eq!(table.get(&"a").map(|stored| stored.record), Some("new"));
/// ```
#[derive(Clone, Debug)]
pub struct RecordTable<K, R> {
    records: BTreeMap<K, StoredRecord<R>>,
}

impl<K: Ord + Clone, R: Clone> RecordTable<K, R> {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self { records: BTreeMap::new() }
    }

    /// Returns a record.
    pub fn get(&self, key: &K) -> Option<&StoredRecord<R>> {
        self.records.get(key)
    }

    /// Returns all records in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &StoredRecord<R>)> {
        self.records.iter()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Replaces all records by those that the store held at a version.
    ///
    /// A list of a relay may be older than this node's last write, which is kept.
    pub fn replace(
        &mut self,
        now: TimeMs,
        version: ObjectVersion,
        records: impl IntoIterator<Item = (K, ObjectVersion, R)>,
    ) {
        let mut before = std::mem::take(&mut self.records);
        for (key, version, record) in records {
            match before.remove(&key).filter(|known| known.version >= version) {
                Some(known) => drop(self.records.insert(key, known)),
                None => self.put(now, key, version, record),
            }
        }
        self.records.extend(before.into_iter().filter(|(_, known)| known.version > version));
    }

    /// Sets a record, unless a newer version is known.
    pub fn put(&mut self, now: TimeMs, key: K, version: ObjectVersion, record: R) {
        if self.records.get(&key).is_none_or(|known| known.version < version) {
            self.records.insert(key, StoredRecord { version, record, seen_at: now });
        }
    }

    /// Removes a record that the store no longer held at a version.
    pub fn remove(&mut self, key: &K, version: ObjectVersion) {
        if self.records.get(key).is_some_and(|known| known.version <= version) {
            self.records.remove(key);
        }
    }

    /// Applies the outcome of a write.
    pub fn apply_write(
        &mut self,
        now: TimeMs,
        write: &RecordWrite<K, R>,
        outcome: WriteOutcome<R>,
    ) {
        let key = write.key().clone();
        match (write, outcome) {
            (RecordWrite::Put { record, .. }, WriteOutcome::Written(version)) => {
                self.put(now, key, version, record.clone());
            }
            (RecordWrite::Delete { .. }, WriteOutcome::Written(version)) => {
                self.remove(&key, version);
            }
            (_, WriteOutcome::Found(version, record)) => self.put(now, key, version, record),
            (_, WriteOutcome::Missing) => drop(self.records.remove(&key)),
            (_, WriteOutcome::Failed) => {}
        }
    }
}

impl<K: Ord + Clone, R: Clone> Default for RecordTable<K, R> {
    fn default() -> Self {
        Self::new()
    }
}
