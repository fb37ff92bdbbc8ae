use bytes::Bytes;
use celeryhaven_body_budget::BodyKey;

use crate::bodies::BodyStore;

/// A part of a body, whose room is free again when the last reference to it is dropped.
pub(super) struct Segment<T> {
    memory: T,
    filled: usize,
    key: BodyKey,
    store: BodyStore,
}

impl<T: AsRef<[u8]> + Send + 'static> Segment<T> {
    /// Shares the first `filled` bytes of a memory.
    pub(super) fn share(memory: T, filled: usize, (store, key): (&BodyStore, BodyKey)) -> Bytes {
        Bytes::from_owner(Self { memory, filled, key, store: store.clone() })
    }
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Segment<T> {
    fn as_ref(&self) -> &[u8] {
        &self.memory.as_ref()[..self.filled]
    }
}

impl<T> Drop for Segment<T> {
    fn drop(&mut self) {
        self.store.release(self.key, self.filled as u64);
    }
}
