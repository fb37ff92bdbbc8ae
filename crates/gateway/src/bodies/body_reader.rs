use std::io;

use async_channel::Receiver;
use bytes::Bytes;
use celeryhaven_body_budget::{BodyKey, BodyRefusal, Decision, SHORT_BYTES_MAX};
use celeryhaven_http::RequestBody;
use memmap2::MmapMut;

use crate::bodies::BodyStore;
use crate::bodies::segment::Segment;

/// Longest body that is held in memory of the allocator, in bytes.
///
/// The allocator does not return all of the memory of long bodies, as other allocations lie between.
const ALLOCATED_BYTES_MAX: usize = SHORT_BYTES_MAX as usize;

/// Size of a mapping that holds a part of a long body, in bytes.
const MAPPING_BYTES: usize = 256 * 1024;

/// Reads a body into memory; dropping it gives its room back.
#[derive(Debug)]
pub(crate) struct BodyReader {
    store: BodyStore,
    key: BodyKey,
    /// What has been received of a short body, or the beginning of one of unknown length.
    allocated: Vec<u8>,
    parts: Vec<Bytes>,
    /// The part that is being filled, and how many of its bytes are.
    mapping: Option<(MmapMut, usize)>,
    is_mapped: bool,
    is_complete: bool,
    decisions: Option<Receiver<Decision>>,
}

impl BodyReader {
    pub(super) fn new(store: BodyStore, key: BodyKey, length_bytes: Option<u64>) -> Self {
        let is_mapped = length_bytes.is_some_and(|length| length > ALLOCATED_BYTES_MAX as u64);
        let capacity = if is_mapped { 0 } else { length_bytes.unwrap_or(0) as usize };
        let reader = Self {
            store,
            key,
            allocated: Vec::with_capacity(capacity),
            parts: Vec::new(),
            mapping: None,
            is_mapped,
            is_complete: false,
            decisions: None,
        };
        // A long body may be refused for its slow caller while it is read.
        if is_mapped { reader.with_decisions() } else { reader }
    }

    /// Lets decisions on the body be waited for.
    pub(super) fn with_decisions(mut self) -> Self {
        self.decisions.get_or_insert_with(|| self.store.follow(self.key));
        self
    }

    /// Returns the next decision on the body; waits for ever if nothing is to be decided.
    pub(crate) async fn decision(&self) -> Decision {
        let Some(decisions) = &self.decisions else { return std::future::pending().await };
        match decisions.recv().await {
            Ok(decision) => decision,
            Err(_) => std::future::pending().await,
        }
    }

    /// Adds received bytes; returns whether more may be read.
    ///
    /// # Errors
    ///
    /// Fails if the system has no memory for them.
    pub(crate) fn push(&mut self, mut bytes: &[u8]) -> io::Result<Decision> {
        let length_bytes = bytes.len() as u64;
        if !self.is_mapped {
            if self.allocated.len() + bytes.len() <= ALLOCATED_BYTES_MAX {
                self.allocated.extend_from_slice(bytes);
                return Ok(self.store.receive(self.key, length_bytes));
            }
            self.is_mapped = true;
            self.decisions.get_or_insert_with(|| self.store.follow(self.key));
            self.share_allocated();
        }
        while !bytes.is_empty() {
            let (mut mapping, mut filled) = match self.mapping.take() {
                Some(mapping) => mapping,
                None => (MmapMut::map_anon(MAPPING_BYTES)?, 0),
            };
            let count = bytes.len().min(MAPPING_BYTES - filled);
            mapping[filled..filled + count].copy_from_slice(&bytes[..count]);
            filled += count;
            bytes = &bytes[count..];
            match filled == MAPPING_BYTES {
                true => self.parts.push(Segment::share(mapping, filled, (&self.store, self.key))),
                false => self.mapping = Some((mapping, filled)),
            }
        }
        Ok(self.store.receive(self.key, length_bytes))
    }

    /// Returns the complete body.
    ///
    /// # Errors
    ///
    /// Fails if it has waited for so long that its request could no longer be answered in time.
    pub(crate) fn finish(mut self) -> Result<RequestBody, BodyRefusal> {
        self.share_allocated();
        if let Some((mapping, filled)) = self.mapping.take() {
            self.parts.push(Segment::share(mapping, filled, (&self.store, self.key)));
        }
        // An empty one is removed as it is dropped: no release of a part would.
        self.is_complete = !self.parts.is_empty();
        if self.is_complete
            && let Decision::Refuse(refusal) = self.store.complete(self.key)
        {
            self.is_complete = false;
            return Err(refusal);
        }
        Ok(std::mem::take(&mut self.parts).into_iter().collect())
    }

    fn share_allocated(&mut self) {
        let allocated = std::mem::take(&mut self.allocated);
        if !allocated.is_empty() {
            let filled = allocated.len();
            self.parts.push(Segment::share(allocated, filled, (&self.store, self.key)));
        }
    }
}

impl Drop for BodyReader {
    fn drop(&mut self) {
        if !self.is_complete {
            self.store.remove(self.key);
        }
    }
}
