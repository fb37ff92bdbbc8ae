use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hash};
use std::sync::Arc;

use celeryhaven_types::store::{ObjectChange, ObjectKey, ObjectVersion};
use foldhash::quality::FixedState;

/// Seed of the fingerprint; the same on every node.
const FINGERPRINT_SEED: u64 = 0x63_65_6c_65_72_79;

#[derive(Clone, Debug)]
struct Held {
    version: ObjectVersion,
    value: Option<Arc<str>>,
}

/// The newest version of each object that this node has seen, deleted ones included.
///
/// Failure: watches replay, reads are old, peers are behind, and a node that takes whatever comes
/// last goes back to an earlier configuration. It shows as a setting that returns for seconds. The
/// guard holds since [`ObjectCache::apply`] is the only way in, and takes nothing at or below the
/// version held; a deleted object keeps its version for the same reason.
#[derive(Clone, Debug, Default)]
pub struct ObjectCache {
    held: BTreeMap<ObjectKey, Held>,
    fingerprint: u64,
}

/// Changing.
impl ObjectCache {
    /// Takes a change if it is newer than what is held; says whether it was.
    pub fn apply(&mut self, change: &ObjectChange) -> bool {
        let before = self.version(&change.key);
        if before.is_some_and(|held| held >= change.version) {
            return false;
        }
        if let Some(before) = before {
            self.fingerprint ^= fingerprint(&change.key, before);
        }
        self.fingerprint ^= fingerprint(&change.key, change.version);
        let held = Held { version: change.version, value: change.value.clone() };
        self.held.insert(change.key.clone(), held);
        true
    }
}

/// Reading.
impl ObjectCache {
    /// The value of an object that is held and not deleted.
    pub fn value(&self, key: &ObjectKey) -> Option<&str> {
        self.held.get(key)?.value.as_deref()
    }

    /// The version of an object, deleted or not.
    pub fn version(&self, key: &ObjectKey) -> Option<ObjectVersion> {
        self.held.get(key).map(|held| held.version)
    }

    /// The object as a change that brings another node up to it.
    pub fn change(&self, key: &ObjectKey) -> Option<ObjectChange> {
        let held = self.held.get(key)?;
        Some(ObjectChange { key: key.clone(), version: held.version, value: held.value.clone() })
    }

    /// Every object held, by name, deleted ones included.
    pub fn versions(&self) -> impl Iterator<Item = (&ObjectKey, ObjectVersion)> {
        self.held.iter().map(|(key, held)| (key, held.version))
    }

    /// Objects below a prefix that are not deleted, by name.
    pub fn with_prefix(&self, prefix: &str) -> impl Iterator<Item = (&ObjectKey, &str)> {
        self.held
            .iter()
            .filter(move |(key, _)| key.as_str().starts_with(prefix))
            .filter_map(|(key, held)| Some((key, held.value.as_deref()?)))
    }

    /// A number that two shelves share if they hold the same versions.
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
