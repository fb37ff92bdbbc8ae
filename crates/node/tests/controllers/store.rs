use std::collections::BTreeMap;
use std::sync::Arc;

use celeryhaven_types::store::{Object, ObjectKey, ObjectVersion, StoreReply, StoreRequest};

/// Fault of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    None,
    /// The call is executed and its reply is lost.
    AnswerLost,
    /// The call is not executed and gets no reply.
    Down,
    /// A read returns the previous version of the object.
    Stale,
}

/// An in-memory store of versioned objects.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    version: ObjectVersion,
    objects: BTreeMap<ObjectKey, Object>,
    before: BTreeMap<ObjectKey, Option<Object>>,
    pub reads: u64,
    pub writes: u64,
    /// Every configuration that was written, in order.
    pub configs: Vec<Arc<str>>,
}

impl FakeStore {
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(&ObjectKey::new(key))
    }

    pub fn under(&self, prefix: &str) -> Vec<&Object> {
        self.objects.values().filter(|object| object.key.as_str().starts_with(prefix)).collect()
    }

    pub fn put(&mut self, key: &str, value: &str) {
        self.write(&ObjectKey::new(key), &value.into());
    }

    pub fn remove(&mut self, key: &str) {
        self.objects.remove(&ObjectKey::new(key));
    }

    /// Executes a call; `None` if it gets no reply.
    pub fn call(&mut self, request: &StoreRequest, fault: StoreFault) -> Option<StoreReply> {
        if fault == StoreFault::Down {
            return None;
        }
        let is_stale = fault == StoreFault::Stale;
        let reply = self.execute(request, is_stale);
        (fault != StoreFault::AnswerLost).then_some(reply)
    }

    fn execute(&mut self, request: &StoreRequest, is_stale: bool) -> StoreReply {
        match request {
            StoreRequest::Get { key } => {
                self.reads += 1;
                self.read(key, is_stale).map_or(StoreReply::Missing, StoreReply::Found)
            }
            StoreRequest::List { prefix } => {
                self.reads += 1;
                let keys: Vec<ObjectKey> = self.objects.keys().cloned().collect();
                let keys = keys.iter().filter(|key| key.as_str().starts_with(prefix.as_str()));
                let objects = keys.filter_map(|key| self.read(key, is_stale)).collect();
                StoreReply::Listed { version: self.version, objects }
            }
            StoreRequest::Create { key, value } if !self.objects.contains_key(key) => {
                self.write(key, value)
            }
            StoreRequest::Update { key, version, value }
                if self.objects.get(key).is_some_and(|object| object.version == *version) =>
            {
                self.write(key, value)
            }
            _ => {
                self.writes += 1;
                StoreReply::Conflict
            }
        }
    }

    fn read(&self, key: &ObjectKey, is_stale: bool) -> Option<Object> {
        let before = self.before.get(key).filter(|_| is_stale);
        before.cloned().unwrap_or_else(|| self.objects.get(key).cloned())
    }

    fn write(&mut self, key: &ObjectKey, value: &Arc<str>) -> StoreReply {
        self.writes += 1;
        self.version = self.version.next();
        if key.as_str() == "config/current" {
            self.configs.push(value.clone());
        }
        let object = Object { key: key.clone(), version: self.version, value: value.clone() };
        let before = self.objects.insert(key.clone(), object);
        self.before.insert(key.clone(), before);
        StoreReply::Written { version: self.version }
    }
}
