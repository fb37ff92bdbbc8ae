//! Splitting of event streams into complete events.

use celeryhaven_http::EventSplitter;
use quickcheck::{Arbitrary, Gen};

const CASES: usize = 200;
const SIZE: usize = 40;

#[test]
fn splitter_arbitrary_chunks() {
    for seed in 0..CASES {
        let mut random = Gen::from_size_and_seed(SIZE, seed as u64);
        let events: Vec<String> = (1..=u8::arbitrary(&mut random) % 9 + 1)
            .map(|number| format!("id: {number}\ndata: {}\n\n", u32::arbitrary(&mut random)))
            .collect();
        let text = events.concat();
        let mut splitter = EventSplitter::new(None);
        let (mut out, mut start) = (Vec::new(), 0);
        while start < text.len() {
            let end = (start + 1 + usize::arbitrary(&mut random) % 17).min(text.len());
            out.extend(splitter.push(&text.as_bytes()[start..end]).unwrap_or_default());
            start = end;
        }
        assert_eq!(out, text.as_bytes(), "seed {seed}");
        assert_eq!(splitter.event_count() as usize, events.len(), "seed {seed}");
        assert!(!splitter.is_inside_event(), "seed {seed}");
    }
}

/// A partial event must not be forwarded: the target that resumes the stream sends it again.
#[test]
fn splitter_partial_event() {
    let mut splitter = EventSplitter::new(Some("3".into()));
    let complete = splitter.push(b"id: 4\ndata: x\n\nid: 5\nda").unwrap();
    assert_eq!(complete, "id: 4\ndata: x\n\n");
    assert!(splitter.is_inside_event());
    splitter.drop_pending();
    assert_eq!(splitter.last_id(), Some("4"));
}

#[test]
fn splitter_arbitrary_bytes() {
    for seed in 0..CASES {
        let mut random = Gen::from_size_and_seed(SIZE, seed as u64);
        let bytes = Vec::<u8>::arbitrary(&mut random);
        let mut splitter = EventSplitter::new(None);
        let out = splitter.push(&bytes).unwrap_or_default();
        let rest = splitter.take_pending();
        assert_eq!([out, rest].concat(), bytes, "seed {seed}");
    }
}
