use celeryhaven_types::TimeMs;
use celeryhaven_types::store::{Object, ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use serde::de::DeserializeOwned;

/// An object that another process writes, read periodically.
///
/// Reads of the store may be stale. A version older than the known one is ignored: with an older
/// configuration, wanted replicas would be stopped.
#[derive(Clone, Debug)]
pub(crate) struct Reader<T> {
    key: ObjectKey,
    latest: Option<(ObjectVersion, T)>,
    is_reading: bool,
    due_at: TimeMs,
}

impl<T: DeserializeOwned> Reader<T> {
    pub(crate) fn new(key: &str) -> Self {
        Self {
            key: ObjectKey::new(key),
            latest: None,
            is_reading: false,
            due_at: TimeMs::default(),
        }
    }

    pub(crate) fn value(&self) -> Option<&T> {
        self.latest.as_ref().map(|(_, value)| value)
    }

    pub(crate) fn poll(&mut self, now: TimeMs, interval_ms: u64) -> Option<StoreRequest> {
        if self.is_reading || now < self.due_at {
            return None;
        }
        self.is_reading = true;
        self.due_at = now.after(interval_ms);
        Some(StoreRequest::Get { key: self.key.clone() })
    }

    pub(crate) fn reply(&mut self, reply: &StoreReply) {
        self.is_reading = false;
        if let StoreReply::Found(object) = reply {
            self.apply(object);
        }
    }

    fn apply(&mut self, object: &Object) {
        let is_newer = self.latest.as_ref().is_none_or(|(version, _)| object.version > *version);
        if let Some(value) = serde_json::from_str(&object.value).ok().filter(|_| is_newer) {
            self.latest = Some((object.version, value));
        }
    }
}
