//! Streams cut at any place come out whole and in order.

use celeryhaven_http::EventSplitter;
use quickcheck::{Arbitrary, Gen};

const CASES: usize = 200;
const SIZE: usize = 40;

#[test]
fn splitter_any_cuts() {
    for seed in 0..CASES {
        let mut random = Gen::from_size_and_seed(SIZE, seed as u64);
        let events: Vec<String> = (1..=u8::arbitrary(&mut random) % 9 + 1)
            .map(|number| format!("id: {number}\ndata: {}\n\n", u32::arbitrary(&mut random)))
            .collect();
        let text = events.concat();
        let mut splitter = EventSplitter::new(None);
        let (mut out, mut place) = (Vec::new(), 0);
        while place < text.len() {
            let end = (place + 1 + usize::arbitrary(&mut random) % 17).min(text.len());
            out.extend(splitter.push(&text.as_bytes()[place..end]).unwrap_or_default());
            place = end;
        }
        assert_eq!(out, text.as_bytes(), "seed {seed}");
        assert_eq!(splitter.events() as usize, events.len(), "seed {seed}");
        assert!(!splitter.is_inside_event(), "seed {seed}");
    }
}

/// A target dies in the middle of an event. What the caller got of it must end with the event
/// before, since the next run begins with the one that was cut.
#[test]
fn splitter_cut_in_event() {
    let mut splitter = EventSplitter::new(Some("3".into()));
    let whole = splitter.push(b"id: 4\ndata: x\n\nid: 5\nda").unwrap();
    assert_eq!(whole, "id: 4\ndata: x\n\n");
    assert!(splitter.is_inside_event());
    splitter.drop_pending();
    assert_eq!(splitter.last_id(), Some("4"));
}

#[test]
fn splitter_any_bytes() {
    for seed in 0..CASES {
        let mut random = Gen::from_size_and_seed(SIZE, seed as u64);
        let bytes = Vec::<u8>::arbitrary(&mut random);
        let mut splitter = EventSplitter::new(None);
        let out = splitter.push(&bytes).unwrap_or_default();
        let rest = splitter.take_pending();
        assert_eq!([out, rest].concat(), bytes, "seed {seed}");
    }
}
