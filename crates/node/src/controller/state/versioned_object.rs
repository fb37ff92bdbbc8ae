use std::sync::Arc;

use celeryhaven_types::TimeMs;
use celeryhaven_types::store::{ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Delay after a failed read or a rejected write, in milliseconds.
const RETRY_DELAY_MS: u64 = 250;

/// An object that the holder of a lease rewrites, one write at a time.
///
/// Every write names the version that it replaces, so a write of a previous holder that resumes
/// after a pause fails. After a conflict or a write without a reply the object is read again before
/// the next write.
#[derive(Clone, Debug)]
pub(crate) struct VersionedObject<T> {
    key: ObjectKey,
    stored: Option<StoredState<T>>,
    pending: Option<PendingCall<T>>,
    retry_at: TimeMs,
    newest_version: ObjectVersion,
}

#[derive(Clone, Debug)]
struct StoredState<T> {
    version: Option<ObjectVersion>,
    value: Option<T>,
}

#[derive(Clone, Debug)]
enum PendingCall<T> {
    Read,
    Write(T),
}

impl<T: Clone + Serialize + DeserializeOwned> VersionedObject<T> {
    pub(crate) fn new(key: String) -> Self {
        Self {
            key: ObjectKey::new(key),
            stored: None,
            pending: None,
            retry_at: TimeMs::default(),
            newest_version: ObjectVersion::default(),
        }
    }

    /// Returns the stored value, if it is known and no call is in progress.
    pub(crate) fn current(&self) -> Option<Option<&T>> {
        self.stored.as_ref().filter(|_| self.pending.is_none()).map(|stored| stored.value.as_ref())
    }

    /// Discards the value, so that it is read again.
    pub(crate) fn invalidate(&mut self) {
        self.stored = None;
    }

    /// Returns the read that is due while the value is unknown.
    pub(crate) fn poll(&mut self, now: TimeMs) -> Option<StoreRequest> {
        if self.pending.is_some() || self.stored.is_some() || now < self.retry_at {
            return None;
        }
        self.pending = Some(PendingCall::Read);
        Some(StoreRequest::Get { key: self.key.clone() })
    }

    /// Returns the write that replaces the value; `None` while a call is in progress or the object
    /// must be read first.
    pub(crate) fn write(&mut self, now: TimeMs, value: T) -> Option<StoreRequest> {
        if self.pending.is_some() || now < self.retry_at {
            return None;
        }
        let stored = self.stored.as_ref()?;
        let text: Arc<str> = serde_json::to_string(&value).ok()?.into();
        let key = self.key.clone();
        let request = match stored.version {
            Some(version) => StoreRequest::Update { key, version, value: text },
            None => StoreRequest::Create { key, value: text },
        };
        self.pending = Some(PendingCall::Write(value));
        Some(request)
    }

    /// Applies the reply to the call in progress.
    pub(crate) fn reply(&mut self, now: TimeMs, reply: StoreReply) {
        match (self.pending.take(), reply) {
            (Some(PendingCall::Read), StoreReply::Found(object))
                if object.version >= self.newest_version =>
            {
                self.newest_version = object.version;
                let value = serde_json::from_str(&object.value).ok();
                // An object that cannot be parsed is not overwritten, which would lose its content.
                self.stored = value
                    .map(|value| StoredState { version: Some(object.version), value: Some(value) });
                self.retry_at = now.after(if self.stored.is_some() { 0 } else { RETRY_DELAY_MS });
            }
            (Some(PendingCall::Read), StoreReply::Missing) => {
                self.stored = Some(StoredState { version: None, value: None });
            }
            (Some(PendingCall::Write(value)), StoreReply::Written { version }) => {
                self.newest_version = version;
                self.stored = Some(StoredState { version: Some(version), value: Some(value) });
            }
            (Some(PendingCall::Write(_)), StoreReply::Rejected) => {
                self.retry_at = now.after(RETRY_DELAY_MS);
            }
            (Some(PendingCall::Write(_)), StoreReply::Conflict) => self.stored = None,
            (Some(_), _) => {
                self.stored = None;
                self.retry_at = now.after(RETRY_DELAY_MS);
            }
            (None, _) => {}
        }
    }
}
