use std::collections::BTreeMap;
use std::sync::Arc;

use celeryhaven_types::store::{
    Object, ObjectChange, ObjectKey, ObjectVersion, StoreCallId, StoreReply, StoreRequest,
};

use super::events::Process;

/// A pending watch.
#[derive(Clone, Debug)]
pub struct Waiter {
    pub process: Process,
    pub call: StoreCallId,
    pub prefix: String,
    pub from: ObjectVersion,
}

/// An Object API that keeps its full history.
#[derive(Default)]
pub struct FakeStore {
    version: u64,
    objects: BTreeMap<ObjectKey, (u64, Arc<str>)>,
    log: Vec<ObjectChange>,
    pub waiters: Vec<Waiter>,
    pub down_until: u64,
    pub writes: u64,
}

impl FakeStore {
    /// Executes a call; `None` if it is a watch without changes yet.
    pub fn apply(&mut self, request: &StoreRequest) -> Option<StoreReply> {
        Some(match request {
            StoreRequest::Get { key } => match self.objects.get(key) {
                Some((version, value)) => StoreReply::Found(Object {
                    key: key.clone(),
                    version: ObjectVersion::new(*version),
                    value: value.clone(),
                }),
                None => StoreReply::Missing,
            },
            StoreRequest::List { prefix } => {
                let objects = self.objects.iter();
                let listed = objects.filter(|(key, _)| key.as_str().starts_with(prefix.as_str()));
                let listed = listed.map(|(key, (version, value))| Object {
                    key: key.clone(),
                    version: ObjectVersion::new(*version),
                    value: value.clone(),
                });
                let version = ObjectVersion::new(self.version);
                StoreReply::Listed { version, objects: listed.collect() }
            }
            StoreRequest::Create { key, value } => {
                if self.objects.contains_key(key) {
                    return Some(StoreReply::Conflict);
                }
                self.write(key, Some(value.clone()))
            }
            StoreRequest::Update { key, version, value } => {
                if !self.is_at(key, *version) {
                    return Some(StoreReply::Conflict);
                }
                self.write(key, Some(value.clone()))
            }
            StoreRequest::Delete { key, version } => {
                if !self.is_at(key, *version) {
                    return Some(StoreReply::Conflict);
                }
                self.write(key, None)
            }
            StoreRequest::Watch { prefix, from, .. } => {
                return self.changes(prefix.as_str(), *from);
            }
        })
    }

    /// Returns a list as of an earlier version.
    pub fn list_at(&self, prefix: &ObjectKey, version: ObjectVersion) -> StoreReply {
        let past = self.log.iter().filter(|change| change.version <= version);
        let mut objects = BTreeMap::new();
        for change in past.filter(|change| change.key.as_str().starts_with(prefix.as_str())) {
            objects.insert(change.key.clone(), change.clone());
        }
        let objects = objects.into_values().filter_map(|change| {
            let ObjectChange { key, version, value } = change;
            Some(Object { key, version, value: value? })
        });
        StoreReply::Listed { version, objects: objects.collect() }
    }

    /// Returns the latest version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the changes below a prefix; `None` if there are none.
    pub fn changes(&self, prefix: &str, from: ObjectVersion) -> Option<StoreReply> {
        let after = self.log.iter().filter(|change| change.version > from);
        let below = after.filter(|change| change.key.as_str().starts_with(prefix));
        let changes: Vec<ObjectChange> = below.cloned().collect();
        let version = ObjectVersion::new(self.version);
        (!changes.is_empty()).then_some(StoreReply::Changes { version, changes })
    }

    /// Returns the reply to a watch that timed out.
    pub fn no_changes(&self) -> StoreReply {
        StoreReply::Changes { version: ObjectVersion::new(self.version), changes: Vec::new() }
    }

    /// Removes a pending watch.
    pub fn take_waiter(&mut self, process: Process, call: StoreCallId) -> Option<Waiter> {
        let mut waiters = self.waiters.iter();
        let at = waiters.position(|waiter| waiter.process == process && waiter.call == call)?;
        Some(self.waiters.remove(at))
    }

    /// Writes an object unconditionally.
    pub fn put(&mut self, key: &str, value: String) {
        self.write(&ObjectKey::new(key), Some(value.into()));
    }

    /// Removes the watches that a change completed, with their replies.
    pub fn take_completed(&mut self) -> Vec<(Waiter, StoreReply)> {
        let waiters = std::mem::take(&mut self.waiters);
        let mut woken = Vec::new();
        for waiter in waiters {
            match self.changes(&waiter.prefix, waiter.from) {
                Some(reply) => woken.push((waiter, reply)),
                None => self.waiters.push(waiter),
            }
        }
        woken
    }

    fn is_at(&self, key: &ObjectKey, version: ObjectVersion) -> bool {
        self.objects.get(key).is_some_and(|(at, _)| *at == version.get())
    }

    fn write(&mut self, key: &ObjectKey, value: Option<Arc<str>>) -> StoreReply {
        self.version += 1;
        self.writes += 1;
        let version = ObjectVersion::new(self.version);
        self.log.push(ObjectChange { key: key.clone(), version, value: value.clone() });
        match value {
            Some(value) => drop(self.objects.insert(key.clone(), (self.version, value))),
            None => drop(self.objects.remove(key)),
        }
        StoreReply::Written { version }
    }
}
