use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::store::{
    Object, ObjectChange, ObjectKey, ObjectVersion, StoreReply, StoreRequest,
};

/// Caller: node, boot of the node, index of the followed prefix.
type Caller = (usize, u64, usize);

/// An answer to send to a caller.
type Answer = (usize, u64, usize, StoreReply);

struct Watch {
    caller: Caller,
    prefix: String,
    from: u64,
    until: u64,
}

/// An Object API in virtual time, with outages and stale reads.
#[derive(Default)]
pub struct FakeStore {
    pub is_down: bool,
    /// Answers lists from the state at this version.
    pub stale_at: Option<u64>,
    /// Rejects watches that start before this version.
    pub oldest_watch_version: u64,
    pub calls: u64,
    /// Nodes that have called.
    pub callers: BTreeSet<usize>,
    version: u64,
    history: Vec<(u64, String, Option<String>)>,
    watches: Vec<Watch>,
}

impl FakeStore {
    /// Writes an object and returns its version.
    pub fn write(&mut self, key: &str, value: &str) -> u64 {
        self.version += 1;
        self.history.push((self.version, key.to_owned(), Some(value.to_owned())));
        self.version
    }

    pub fn delete(&mut self, key: &str) {
        self.version += 1;
        self.history.push((self.version, key.to_owned(), None));
    }

    pub fn call(&mut self, now: u64, caller: Caller, request: StoreRequest) -> Vec<Answer> {
        self.calls += 1;
        self.callers.insert(caller.0);
        let (node, boot, feed) = caller;
        let reply = match request {
            _ if self.is_down => StoreReply::Unknown,
            StoreRequest::List { prefix } => self.list(prefix.as_str()),
            StoreRequest::Watch { from, .. } if from.get() < self.oldest_watch_version => {
                StoreReply::TooOld
            }
            StoreRequest::Watch { prefix, from, wait_ms } => {
                let prefix = prefix.as_str().to_owned();
                self.watches.push(Watch { caller, prefix, from: from.get(), until: now + wait_ms });
                return Vec::new();
            }
            _ => StoreReply::Rejected,
        };
        vec![(node, boot, feed, reply)]
    }

    /// Returns the answers of watches with changes or an expired wait.
    pub fn due(&mut self, now: u64) -> Vec<Answer> {
        let watches = std::mem::take(&mut self.watches);
        let mut answers = Vec::new();
        for watch in watches {
            let changes = self.changes(&watch.prefix, watch.from);
            let (node, boot, feed) = watch.caller;
            if self.is_down {
                answers.push((node, boot, feed, StoreReply::Unknown));
            } else if !changes.is_empty() || watch.until <= now {
                let version = ObjectVersion::new(self.version);
                answers.push((node, boot, feed, StoreReply::Changes { version, changes }));
            } else {
                self.watches.push(watch);
            }
        }
        answers
    }

    pub fn next_due(&self) -> u64 {
        self.watches.iter().map(|watch| watch.until).min().unwrap_or(u64::MAX)
    }

    fn list(&self, prefix: &str) -> StoreReply {
        let at = self.stale_at.unwrap_or(self.version);
        let mut latest: BTreeMap<&str, (u64, Option<&String>)> = BTreeMap::new();
        let past = self.history.iter().filter(|(version, _, _)| *version <= at);
        for (version, key, value) in past.filter(|(_, key, _)| key.starts_with(prefix)) {
            latest.insert(key, (*version, value.as_ref()));
        }
        let objects = latest.into_iter().filter_map(|(key, (version, value))| {
            let value = value?.as_str().into();
            Some(Object { key: ObjectKey::new(key), version: ObjectVersion::new(version), value })
        });
        StoreReply::Listed { version: ObjectVersion::new(at), objects: objects.collect() }
    }

    fn changes(&self, prefix: &str, from: u64) -> Vec<ObjectChange> {
        let start = self.history.partition_point(|(version, _, _)| *version <= from);
        let updates = self.history[start..].iter().filter(|(_, key, _)| key.starts_with(prefix));
        let change = |(version, key, value): &(u64, String, Option<String>)| ObjectChange {
            key: ObjectKey::new(key.as_str()),
            version: ObjectVersion::new(*version),
            value: value.as_deref().map(Into::into),
        };
        updates.map(change).collect()
    }
}
