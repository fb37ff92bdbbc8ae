use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use celeryhaven_types::store::{Object, ObjectChange, ObjectKey, ObjectVersion};

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write succeeded and created this version.
    Written(ObjectVersion),
    /// The write was rejected. The object has this version, or does not exist if zero.
    Conflict(ObjectVersion),
}

/// A versioned object store with a bounded change history.
#[derive(Clone, Debug)]
pub struct Objects {
    objects: BTreeMap<ObjectKey, Object>,
    version: ObjectVersion,
    history: VecDeque<ObjectChange>,
    history_max: usize,
}

impl Objects {
    /// Creates an empty store that retains up to `history_max` changes.
    pub fn new(history_max: usize) -> Self {
        Self {
            objects: BTreeMap::new(),
            version: ObjectVersion::new(0),
            history: VecDeque::new(),
            history_max,
        }
    }

    /// Returns the version of the latest change.
    pub fn version(&self) -> ObjectVersion {
        self.version
    }

    /// Returns an object.
    pub fn get(&self, key: &ObjectKey) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Returns all objects whose key starts with a prefix, ordered by key.
    pub fn list(&self, prefix: &str) -> Vec<Object> {
        self.objects
            .values()
            .filter(|object| object.key.as_str().starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns the changes after a version, in order, or `None` if they are no longer retained.
    pub fn changes(&self, prefix: &str, from: ObjectVersion) -> Option<Vec<ObjectChange>> {
        let oldest = self.version.get() - self.history.len() as u64;
        if from.get() < oldest {
            return None;
        }
        let after = self.history.iter().filter(|change| change.version > from);
        Some(after.filter(|change| change.key.as_str().starts_with(prefix)).cloned().collect())
    }

    /// Writes or deletes an object if it is at the expected version. Zero expects no object.
    pub fn write(
        &mut self,
        key: ObjectKey,
        expected: ObjectVersion,
        value: Option<Arc<str>>,
    ) -> WriteOutcome {
        let current = self.objects.get(&key).map_or(ObjectVersion::new(0), |object| object.version);
        if current != expected {
            return WriteOutcome::Conflict(current);
        }
        self.version = self.version.next();
        let version = self.version;
        match &value {
            Some(value) => {
                let object = Object { key: key.clone(), version, value: value.clone() };
                self.objects.insert(key.clone(), object);
            }
            None => {
                self.objects.remove(&key);
            }
        }
        self.history.push_back(ObjectChange { key, version, value });
        if self.history.len() > self.history_max {
            self.history.pop_front();
        }
        WriteOutcome::Written(version)
    }
}
