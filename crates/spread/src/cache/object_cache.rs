use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hash};
use std::sync::Arc;

use celeryhaven_types::store::{ObjectChange, ObjectKey, ObjectVersion};
use foldhash::quality::FixedState;

/// Seed of the fingerprint; must be the same on every node.
const FINGERPRINT_SEED: u64 = 0x63_65_6c_65_72_79;

#[derive(Clone, Debug)]
struct CachedObject {
    version: ObjectVersion,
    value: Option<Arc<str>>,
}

/// The newest version of each object that this node has received, including deleted ones.
///
/// Replayed watches, stale reads and peers that are behind cannot revert an object, since
/// [`ObjectCache::apply`] ignores every change at or below the cached version. A deleted object
/// keeps its version for the same reason.
#[derive(Clone, Debug, Default)]
pub struct ObjectCache {
    objects: BTreeMap<ObjectKey, CachedObject>,
    fingerprint: u64,
}

/// Updates.
impl ObjectCache {
    /// Applies a change if it is newer than the cached version; returns whether it was.
    pub fn apply(&mut self, change: &ObjectChange) -> bool {
        let before = self.version(&change.key);
        if before.is_some_and(|version| version >= change.version) {
            return false;
        }
        if let Some(before) = before {
            self.fingerprint ^= fingerprint(&change.key, before);
        }
        self.fingerprint ^= fingerprint(&change.key, change.version);
        let object = CachedObject { version: change.version, value: change.value.clone() };
        self.objects.insert(change.key.clone(), object);
        true
    }
}

/// Queries.
impl ObjectCache {
    /// Returns the value of a cached object; `None` if it is unknown or deleted.
    pub fn value(&self, key: &ObjectKey) -> Option<&str> {
        self.objects.get(key)?.value.as_deref()
    }

    /// Returns the version of an object, including deleted ones.
    pub fn version(&self, key: &ObjectKey) -> Option<ObjectVersion> {
        self.objects.get(key).map(|object| object.version)
    }

    /// Returns the object as a change for another node to apply.
    pub fn change(&self, key: &ObjectKey) -> Option<ObjectChange> {
        let object = self.objects.get(key)?;
        Some(ObjectChange {
            key: key.clone(),
            version: object.version,
            value: object.value.clone(),
        })
    }

    /// Returns every object, in key order, including deleted ones.
    pub fn versions(&self) -> impl Iterator<Item = (&ObjectKey, ObjectVersion)> {
        self.objects.iter().map(|(key, object)| (key, object.version))
    }

    /// Returns the objects with a prefix that are not deleted, in key order.
    pub fn with_prefix(&self, prefix: &str) -> impl Iterator<Item = (&ObjectKey, &str)> {
        self.objects
            .iter()
            .filter(move |(key, _)| key.as_str().starts_with(prefix))
            .filter_map(|(key, object)| Some((key, object.value.as_deref()?)))
    }

    /// Returns a hash that is equal for caches that hold the same versions.
    pub const fn fingerprint(&self) -> u64 {
        self.fingerprint
    }
}

fn fingerprint(key: &ObjectKey, version: ObjectVersion) -> u64 {
    let state = FixedState::with_seed(FINGERPRINT_SEED);
    state.hash_one(Versioned { key: key.as_str(), version: version.get() })
}

#[derive(Hash)]
struct Versioned<'a> {
    key: &'a str,
    version: u64,
}
