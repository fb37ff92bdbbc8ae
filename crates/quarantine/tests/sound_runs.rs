//! Requests that targets have run without ending.

use celeryhaven_quarantine::{CauseDigest, SoundRuns};
use celeryhaven_types::TimeMs;

fn digest(number: u64) -> CauseDigest {
    CauseDigest::of_request(["POST"], &number.to_le_bytes())
}

#[test]
fn contains_recent() {
    let mut sound = SoundRuns::new();
    sound.record(TimeMs::new(20_000), digest(1));
    sound.record(TimeMs::new(36_000), digest(2));
    assert!(sound.contains(digest(1)) && sound.contains(digest(2)));
    sound.record(TimeMs::new(52_000), digest(2));
    assert!(!sound.contains(digest(1)) && sound.contains(digest(2)));
}

/// Memory stays bounded while no two requests are alike.
#[test]
fn record_many_requests() {
    let mut sound = SoundRuns::new();
    (0..100_000).for_each(|number| sound.record(TimeMs::new(number / 100), digest(number)));
    let known = (0..100_000).filter(|number| sound.contains(digest(*number))).count();
    assert!(known <= 4_096, "{known} requests");
}
