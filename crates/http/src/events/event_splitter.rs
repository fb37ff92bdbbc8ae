use bytes::{Bytes, BytesMut};

/// Longest event that is held until it is whole, in bytes.
///
/// Guards against a target that never ends its event: memory would grow with the stream.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Cuts a stream into whole events, so that another target can go on after the last one.
///
/// Guards against a piece that is lost or comes twice: a target may stop in the middle of an
/// event, and the next run begins with the event after the last whole one.
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
    events: u32,
}

impl EventSplitter {
    /// A splitter for a stream that goes on after this event.
    pub fn new(last_id: Option<String>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Takes bytes and gives back the whole events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let end = end_of_events(&self.pending)?;
        let whole = self.pending.split_to(end).freeze();
        self.note_ids(&whole);
        Some(whole)
    }

    /// Whether bytes of an unfinished event are held.
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the unfinished event is longer than any that is accepted.
    pub fn is_too_long(&self) -> bool {
        self.pending.len() > EVENT_BYTES_MAX
    }

    /// Forgets an unfinished event.
    pub fn drop_pending(&mut self) {
        self.pending.clear();
    }

    /// Takes what is left, such as the end of a stream that cannot be resumed.
    pub fn take_pending(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whole events so far.
    pub fn events(&self) -> u32 {
        self.events
    }

    fn note_ids(&mut self, whole: &[u8]) {
        for line in whole.split(|&byte| byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let Some(id) = line.strip_prefix(b"id:") else { continue };
            let id = id.strip_prefix(b" ").unwrap_or(id);
            self.last_id = Some(String::from_utf8_lossy(id).into_owned());
            self.events += 1;
        }
    }
}

/// End of the last blank line, if there is one.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let lf = find_last(bytes, b"\n\n").map(|place| place + 2);
    let crlf = find_last(bytes, b"\r\n\r\n").map(|place| place + 4);
    lf.max(crlf)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|window| window == pattern)
}
