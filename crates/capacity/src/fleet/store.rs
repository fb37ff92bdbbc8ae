use celeryhaven_types::store::{
    Object, ObjectChange, ObjectKey, ObjectVersion, StoreCallId, StoreReply, StoreRequest,
};

/// A waiting watch.
struct Watch {
    node: usize,
    call: StoreCallId,
    prefix: ObjectKey,
    from: u64,
    until_us: u64,
}

/// A simulated Object API that is always available.
#[derive(Default)]
pub(crate) struct Store {
    version: u64,
    changes: Vec<ObjectChange>,
    watches: Vec<Watch>,
}

/// A reply and the node and call that it is for.
pub(crate) type Answer = (usize, StoreCallId, StoreReply);

impl Store {
    pub(crate) fn write(&mut self, key: &str, value: String) {
        self.version += 1;
        let (key, version) = (ObjectKey::new(key), ObjectVersion::new(self.version));
        self.changes.push(ObjectChange { key, version, value: Some(value.into()) });
    }

    pub(crate) fn call(
        &mut self,
        now_us: u64,
        node: usize,
        call: StoreCallId,
        request: StoreRequest,
    ) -> Option<Answer> {
        let reply = match request {
            StoreRequest::List { prefix } => self.list(&prefix),
            StoreRequest::Watch { prefix, from, wait_ms } => {
                let until_us = now_us + wait_ms * 1_000;
                self.watches.push(Watch { node, call, prefix, from: from.get(), until_us });
                return None;
            }
            StoreRequest::Update { .. } | StoreRequest::Create { .. } => {
                StoreReply::Written { version: ObjectVersion::new(self.version) }
            }
            StoreRequest::Get { .. } | StoreRequest::Delete { .. } => StoreReply::Missing,
        };
        Some((node, call, reply))
    }

    /// Returns the replies of watches that have changes or have timed out.
    pub(crate) fn due(&mut self, now_us: u64) -> Vec<Answer> {
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|watch| watch.until_us <= now_us || watch.from < self.version);
        self.watches = waiting;
        due.into_iter()
            .map(|watch| {
                let newer = self.changes.iter().filter(|change| change.version.get() > watch.from);
                let matching = newer.filter(|c| c.key.as_str().starts_with(watch.prefix.as_str()));
                let changes = matching.cloned().collect();
                let version = ObjectVersion::new(self.version);
                (watch.node, watch.call, StoreReply::Changes { version, changes })
            })
            .collect()
    }

    pub(crate) fn next_due_us(&self) -> u64 {
        let due = |watch: &Watch| if watch.from < self.version { 0 } else { watch.until_us };
        self.watches.iter().map(due).min().unwrap_or(u64::MAX)
    }

    fn list(&self, prefix: &ObjectKey) -> StoreReply {
        let mut objects: Vec<Object> = Vec::new();
        for change in self.changes.iter().filter(|c| c.key.as_str().starts_with(prefix.as_str())) {
            objects.retain(|object| object.key != change.key);
            let Some(value) = change.value.clone() else { continue };
            objects.push(Object { key: change.key.clone(), version: change.version, value });
        }
        StoreReply::Listed { version: ObjectVersion::new(self.version), objects }
    }
}
