//! The gate before the first byte, and the validation of streamed events.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use celeryhaven_entry::forward::{EventChecker, InvalidStream, OnSent, Progress, SendGate};
use celeryhaven_types::{RequestId, TimeMs};
use quickcheck::{Arbitrary, Gen};

const NEVER: TimeMs = TimeMs::new(u64::MAX);

fn counting(send_before: TimeMs) -> (Arc<SendGate<impl OnSent>>, Arc<AtomicU32>) {
    let sent = Arc::new(AtomicU32::new(0));
    let counted = sent.clone();
    let on_sent = move || {
        counted.fetch_add(1, Ordering::SeqCst);
    };
    (Arc::new(SendGate::new(send_before, on_sent)), sent)
}

#[test]
fn gate_sent_once() {
    let (gate, sent) = counting(NEVER);
    assert!(gate.permit_write().is_ok() && gate.permit_write().is_ok());
    assert_eq!((gate.progress(), sent.load(Ordering::SeqCst)), (Progress::Sent, 1));
    gate.stop();
    assert_eq!(gate.progress(), Progress::Sent, "a stop must not undo the first byte");
}

// After a pause beyond the time to send, no byte is sent, because the caller may already have been
// answered "not run".
#[test]
fn gate_expired() {
    let (gate, sent) = counting(TimeMs::new(1));
    assert!(gate.permit_write().is_err() && gate.permit_write().is_err());
    assert_eq!((gate.progress(), sent.load(Ordering::SeqCst)), (Progress::Expired, 0));
}

// An attempt that is cancelled while it connects sends nothing, because it is reported as "not
// run".
#[test]
fn gate_stopped_before_sent() {
    let (gate, sent) = counting(NEVER);
    gate.stop();
    assert!(gate.permit_write().is_err());
    assert_eq!((gate.progress(), sent.load(Ordering::SeqCst)), (Progress::Stopped, 0));
}

// A stop and the first byte race: exactly one of them wins, so that a request that was sent is
// never reported as "not run".
#[test]
fn gate_stop_races_sending() {
    for _ in 0..2_000 {
        let (gate, sent) = counting(NEVER);
        let sender = gate.clone();
        let sending = std::thread::spawn(move || sender.permit_write().is_ok());
        gate.stop();
        let left = sending.join().unwrap();
        assert_eq!(left, gate.progress() == Progress::Sent);
        assert_eq!(u32::from(left), sent.load(Ordering::SeqCst));
    }
}

fn event(id: &str, index: u32) -> String {
    format!(
        "data: {{\"id\":\"{id}\",\"index\":{index},\"choices\":[{{\"text\":\"é{index}\"}}]}}\n\n"
    )
}

#[test]
fn checker_any_pieces() {
    let mut random = Gen::from_size_and_seed(40, 11);
    for _ in 0..300 {
        let (first, count) = (u32::arbitrary(&mut random) % 9, u32::arbitrary(&mut random) % 9);
        let events: String = (first..first + count).map(|index| event("r-1", index)).collect();
        let stream = format!("{events}data: [DONE]\n\n");
        let id = RequestId::new("r-1");
        let mut checker = EventChecker::new(&id, first);
        let (mut bytes, mut tokens, mut done) = (Vec::new(), 0, false);
        let mut rest = stream.as_bytes();
        while !rest.is_empty() {
            let length = (usize::arbitrary(&mut random) % 60 + 1).min(rest.len());
            let whole = checker.push(&rest[..length]).unwrap();
            bytes.extend(whole.bytes);
            tokens += whole.tokens;
            done |= whole.done;
            rest = &rest[length..];
        }
        assert_eq!((String::from_utf8(bytes).unwrap(), tokens, done), (events, count, true));
    }
}

// Events of another request, repeated or missing tokens, errors and malformed events never reach
// the caller.
#[test]
fn checker_foreign_events() {
    let id = RequestId::new("r-1");
    let foreign = [
        event("r-2", 3),
        event("r-1", 2),
        event("r-1", 4),
        "data: {\"index\":3}\n\n".into(),
        "data: {\"id\":\"r-1\"}\n\n".into(),
        "data: {\"id\":\"r-1\",\"index\":3,\"error\":{\"code\":\"x\"}}\n\n".into(),
        "data: {\"id\":\n\n".into(),
        "<html>\n\n".into(),
    ];
    for stream in foreign {
        let mut checker = EventChecker::new(&id, 3);
        assert_eq!(checker.push(stream.as_bytes()), Err(InvalidStream), "{stream}");
    }
}

#[test]
fn checker_event_without_end() {
    let id = RequestId::new("r-1");
    let mut checker = EventChecker::new(&id, 0);
    let pieces = (0..300).map(|_| checker.push(&[b'x'; 8_192]));
    assert!(pieces.into_iter().any(|pushed| pushed == Err(InvalidStream)));
}
