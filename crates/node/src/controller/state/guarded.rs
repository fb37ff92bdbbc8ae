use std::sync::Arc;

use celeryhaven_types::TimeMs;
use celeryhaven_types::store::{ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// How long a failed read or a refused write is left alone, in milliseconds.
const RETRY_MS: u64 = 250;

/// An object that the holder of a lease rewrites, one write at a time.
///
/// Guards against a former holder that wakes from a pause and against lost answers. Every write
/// names the version that it replaces, so it fails if anybody has written since. After a write
/// without an answer, or with a conflict, nothing is known until the object has been read again;
/// whatever stands there then, ours or not, is what the next step goes on from.
#[derive(Clone, Debug)]
pub(crate) struct Guarded<T> {
    key: ObjectKey,
    known: Option<Known<T>>,
    doing: Option<Doing<T>>,
    retry_at: TimeMs,
    newest: ObjectVersion,
}

#[derive(Clone, Debug)]
struct Known<T> {
    version: Option<ObjectVersion>,
    value: Option<T>,
}

#[derive(Clone, Debug)]
enum Doing<T> {
    Read,
    Write(T),
}

impl<T: Clone + Serialize + DeserializeOwned> Guarded<T> {
    pub(crate) fn new(key: String) -> Self {
        Self {
            key: ObjectKey::new(key),
            known: None,
            doing: None,
            retry_at: TimeMs::default(),
            newest: ObjectVersion::default(),
        }
    }

    /// What stands in the store, while that is known and nothing is under way.
    pub(crate) fn settled(&self) -> Option<Option<&T>> {
        self.known.as_ref().filter(|_| self.doing.is_none()).map(|known| known.value.as_ref())
    }

    /// Forgets what is known, so that it is read anew.
    pub(crate) fn forget(&mut self) {
        self.known = None;
    }

    /// The read that is due while nothing is known.
    pub(crate) fn poll(&mut self, now: TimeMs) -> Option<StoreRequest> {
        if self.doing.is_some() || self.known.is_some() || now < self.retry_at {
            return None;
        }
        self.doing = Some(Doing::Read);
        Some(StoreRequest::Get { key: self.key.clone() })
    }

    /// Replaces what is known; `None` while something is under way or must be read first.
    pub(crate) fn write(&mut self, now: TimeMs, value: T) -> Option<StoreRequest> {
        if self.doing.is_some() || now < self.retry_at {
            return None;
        }
        let known = self.known.as_ref()?;
        let text: Arc<str> = serde_json::to_string(&value).ok()?.into();
        let key = self.key.clone();
        let request = match known.version {
            Some(version) => StoreRequest::Update { key, version, value: text },
            None => StoreRequest::Create { key, value: text },
        };
        self.doing = Some(Doing::Write(value));
        Some(request)
    }

    /// Takes in the answer to the call under way.
    pub(crate) fn reply(&mut self, now: TimeMs, reply: StoreReply) {
        match (self.doing.take(), reply) {
            (Some(Doing::Read), StoreReply::Found(object)) if object.version >= self.newest => {
                self.newest = object.version;
                let value = serde_json::from_str(&object.value).ok();
                // Text that cannot be read is left alone: writing over it would lose what it says.
                self.known =
                    value.map(|value| Known { version: Some(object.version), value: Some(value) });
                self.retry_at = now.after(if self.known.is_some() { 0 } else { RETRY_MS });
            }
            (Some(Doing::Read), StoreReply::Missing) => {
                self.known = Some(Known { version: None, value: None });
            }
            (Some(Doing::Write(value)), StoreReply::Written { version }) => {
                self.newest = version;
                self.known = Some(Known { version: Some(version), value: Some(value) });
            }
            (Some(Doing::Write(_)), StoreReply::Rejected) => self.retry_at = now.after(RETRY_MS),
            (Some(Doing::Write(_)), StoreReply::Conflict) => self.known = None,
            (Some(_), _) => {
                self.known = None;
                self.retry_at = now.after(RETRY_MS);
            }
            (None, _) => {}
        }
    }
}
