use std::borrow::Cow;

use celeryhaven_types::RequestId;
use serde::Deserialize;

/// Maximum size of an event, in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;
const END: &[u8] = b"\n\n";
const DONE: &str = "[DONE]";

/// Complete events found in a chunk of a stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CompleteEvents {
    /// The events unchanged and in order, without the end mark.
    pub bytes: Vec<u8>,
    /// Number of tokens in the events.
    pub tokens: u32,
    /// Whether the end mark was received.
    pub done: bool,
}

/// The stream belongs to another request or is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidStream;

/// Splits a stream of server-sent events into complete events and validates each.
///
/// Every event must name the request and carry the token after the previous one. Partial events are
/// never forwarded.
///
/// ```
/// use celeryhaven_entry::forward::EventChecker;
/// use celeryhaven_types::RequestId;
/// let id = RequestId::new("r-1");
/// let mut checker = EventChecker::new(&id, 4);
/// assert_eq!(checker.push(b"data: {\"id\":\"r-1\",").unwrap().tokens, 0);
/// assert_eq!(checker.push(b"\"index\":4}\n\n").unwrap().tokens, 1);
/// assert!(checker.push(b"data: {\"id\":\"r-1\",\"index\":6}\n\n").is_err());
/// ```
pub struct EventChecker<'a> {
    id: &'a RequestId,
    next_index: u64,
    pending: Vec<u8>,
}

#[derive(Deserialize)]
struct Event<'a> {
    #[serde(borrow)]
    id: Option<Cow<'a, str>>,
    index: Option<u64>,
    error: Option<serde::de::IgnoredAny>,
}

impl<'a> EventChecker<'a> {
    /// Creates a checker for a request that expects this token first.
    pub fn new(id: &'a RequestId, next_index: u32) -> Self {
        Self { id, next_index: next_index.into(), pending: Vec::new() }
    }

    /// Adds received bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<CompleteEvents, InvalidStream> {
        self.pending.extend_from_slice(bytes);
        let mut complete = CompleteEvents::default();
        let mut start = 0;
        while let Some(length) = find(&self.pending[start..], END).filter(|_| !complete.done) {
            let event = &self.pending[start..start + length];
            start += length + END.len();
            match data_of(event)? {
                None => {}
                Some(DONE) => complete.done = true,
                Some(data) => {
                    check(data, self.id, self.next_index)?;
                    self.next_index += 1;
                    complete.tokens += 1;
                    complete.bytes.extend_from_slice(event);
                    complete.bytes.extend_from_slice(END);
                }
            }
        }
        self.pending.drain(..start);
        match self.pending.len() > EVENT_BYTES_MAX {
            true => Err(InvalidStream),
            false => Ok(complete),
        }
    }
}

fn check(data: &str, id: &RequestId, next_index: u64) -> Result<(), InvalidStream> {
    let event = serde_json::from_str::<Event<'_>>(data).map_err(|_| InvalidStream)?;
    let own = event.id.as_deref() == Some(id.as_str()) && event.index == Some(next_index);
    match own && event.error.is_none() {
        true => Ok(()),
        false => Err(InvalidStream),
    }
}

/// Returns the data of an event; `None` for a comment.
fn data_of(event: &[u8]) -> Result<Option<&str>, InvalidStream> {
    let text = std::str::from_utf8(event).map_err(|_| InvalidStream)?.trim();
    match text.strip_prefix("data:") {
        Some(data) => Ok(Some(data.trim_start())),
        None if text.is_empty() || text.starts_with(':') => Ok(None),
        None => Err(InvalidStream),
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}
