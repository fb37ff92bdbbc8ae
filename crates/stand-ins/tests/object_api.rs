//! Tests of the Object API stand-in: conditional updates, change history and rate limits.

use std::sync::Arc;

use celeryhaven_stand_ins::object_api::{Objects, TokenBucket, WriteOutcome};
use celeryhaven_types::store::{ObjectKey, ObjectVersion};

fn version(number: u64) -> ObjectVersion {
    ObjectVersion::new(number)
}

fn write(objects: &mut Objects, key: &str, expected: u64, value: &str) -> WriteOutcome {
    objects.write(ObjectKey::new(key), version(expected), Some(Arc::from(value)))
}

#[test]
fn write_same_version_twice() {
    let mut objects = Objects::new(10);
    assert_eq!(write(&mut objects, "a", 0, "1"), WriteOutcome::Written(version(1)));
    assert_eq!(write(&mut objects, "a", 1, "2"), WriteOutcome::Written(version(2)));
    assert_eq!(write(&mut objects, "a", 1, "3"), WriteOutcome::Conflict(version(2)));
    assert_eq!(write(&mut objects, "a", 0, "3"), WriteOutcome::Conflict(version(2)));
}

#[test]
fn write_after_delete() {
    let mut objects = Objects::new(10);
    write(&mut objects, "a", 0, "1");
    objects.write(ObjectKey::new("a"), version(1), None);
    assert_eq!(write(&mut objects, "a", 0, "2"), WriteOutcome::Written(version(3)));
}

#[test]
fn changes_prefix() {
    let mut objects = Objects::new(10);
    write(&mut objects, "a/1", 0, "1");
    write(&mut objects, "b/1", 0, "1");
    write(&mut objects, "a/2", 0, "1");
    let changes = objects.changes("a/", version(1)).unwrap();
    assert_eq!(changes.iter().map(|change| change.key.as_str()).collect::<Vec<_>>(), ["a/2"]);
}

#[test]
fn changes_older_than_kept() {
    let mut objects = Objects::new(2);
    for number in 0..4 {
        write(&mut objects, &format!("k/{number}"), 0, "1");
    }
    assert!(objects.changes("k/", version(1)).is_none());
    assert_eq!(objects.changes("k/", version(2)).unwrap().len(), 2);
}

#[test]
fn take_over_rate() {
    let start = std::time::Instant::now();
    let mut bucket = TokenBucket::new(10, start);
    let taken = (0..20).filter(|_| bucket.take(start)).count();
    let later = start + std::time::Duration::from_millis(500);
    let taken_later = (0..20).filter(|_| bucket.take(later)).count();
    assert_eq!((taken, taken_later), (10, 5));
}
