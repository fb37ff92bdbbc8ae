use bytes::{Bytes, BytesMut};

/// Maximum size of a buffered event, in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Length of the longest end of an event, in bytes.
const END_BYTES_MAX: usize = 4;

/// Splits a stream into complete events, so that another target can resume it after the last one.
///
/// An event that a target sent only in part is not forwarded, because the target that resumes the
/// stream sends it again.
///
/// ```
/// use celeryhaven_http::EventSplitter;
/// let mut splitter = EventSplitter::new(None);
/// assert!(splitter.push(b"id: 7\ndata: a").is_none());
/// assert_eq!(splitter.push(b"b\n\nid: 8").unwrap(), "id: 7\ndata: ab\n\n");
/// assert_eq!(splitter.last_id(), Some("7"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<String>,
    event_count: u32,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after this event.
    pub fn new(last_id: Option<String>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Appends bytes and returns all buffered events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // What was buffered before holds no end, but may hold the beginning of one.
        let scanned = self.pending.len().saturating_sub(END_BYTES_MAX - 1);
        self.pending.extend_from_slice(bytes);
        let end = scanned + end_of_events(&self.pending[scanned..])?;
        let complete = self.pending.split_to(end).freeze();
        self.record_ids(&complete);
        Some(complete)
    }

    /// Whether part of an event is buffered.
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the length of the buffered part of an event, in bytes.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Whether the buffered part of an event exceeds the size limit.
    pub fn is_too_long(&self) -> bool {
        self.pending.len() > EVENT_BYTES_MAX
    }

    /// Discards the buffered part of an event.
    pub fn drop_pending(&mut self) {
        // The memory goes as well.
        self.pending = BytesMut::new();
    }

    /// Removes and returns the buffered bytes.
    pub fn take_pending(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the number of complete events with an id.
    pub fn event_count(&self) -> u32 {
        self.event_count
    }

    fn record_ids(&mut self, events: &[u8]) {
        for line in events.split(|&byte| byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let Some(id) = line.strip_prefix(b"id:") else { continue };
            let id = id.strip_prefix(b" ").unwrap_or(id);
            self.last_id = Some(String::from_utf8_lossy(id).into_owned());
            self.event_count += 1;
        }
    }
}

/// Returns the index after the last blank line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let lf = find_last(bytes, b"\n\n").map(|index| index + 2);
    let crlf = find_last(bytes, b"\r\n\r\n").map(|index| index + 4);
    lf.max(crlf)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|window| window == pattern)
}
