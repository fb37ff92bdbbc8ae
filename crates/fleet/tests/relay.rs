//! A relay's change log gives each follower exactly the changes it lacks.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeMap;

use celeryhaven_fleet::{ChangeLog, RelayAnswer, StoreContact};
use celeryhaven_types::TimeMs;
use celeryhaven_types::store::{Object, ObjectChange, ObjectKey, ObjectVersion};
use quickcheck::{Arbitrary, Gen};

const NOW: TimeMs = TimeMs::new(1_000);

fn change(key: &str, version: u64, value: Option<&str>) -> ObjectChange {
    ObjectChange {
        key: ObjectKey::new(key),
        version: ObjectVersion::new(version),
        value: value.map(Into::into),
    }
}

/// A log with an empty list and a recent contact with the store.
fn log_with_empty_list(version: u64) -> ChangeLog {
    let mut log = ChangeLog::new();
    log.apply_list(ObjectVersion::new(version), &[]);
    log.record_contact(NOW, StoreContact::direct(false));
    log
}

/// A follower of relays, and its copy of the objects.
#[derive(Default)]
struct Follower {
    from: Option<ObjectVersion>,
    objects: BTreeMap<ObjectKey, String>,
}

impl Follower {
    fn apply(&mut self, answer: RelayAnswer) {
        match answer {
            RelayAnswer::Stale => {}
            RelayAnswer::Listed { version, objects, .. } => {
                self.from = Some(version);
                let pair = |object: Object| (object.key, object.value.to_string());
                self.objects = objects.into_iter().map(pair).collect();
            }
            RelayAnswer::Changes { version, changes, .. } => {
                self.from = Some(version);
                for change in changes {
                    match change.value {
                        Some(value) => self.objects.insert(change.key, value.to_string()),
                        None => self.objects.remove(&change.key),
                    };
                }
            }
        }
    }
}

/// Guards against missed or outdated objects when a follower switches between relays that receive
/// the same changes in different batches.
#[test]
fn relay_followers_agree_with_store() {
    for seed in 0..200 {
        let mut random = Gen::from_size_and_seed(20, seed);
        let (mut logs, mut pending) =
            ([log_with_empty_list(1), log_with_empty_list(1)], [vec![], vec![]]);
        let mut at = [ObjectVersion::new(1); 2];
        let mut store: BTreeMap<ObjectKey, String> = BTreeMap::new();
        let mut follower = Follower::default();
        for version in 2..1_200_u64 {
            let key = ["a", "b", "c", "d"][usize::arbitrary(&mut random) % 4];
            let value = bool::arbitrary(&mut random).then(|| version.to_string());
            let mut change = change(key, version, value.as_deref());
            match value {
                Some(value) => store.insert(change.key.clone(), value),
                None => {
                    // A removed object may have the version of its last write.
                    let removed = store.remove(&change.key);
                    let last_write = removed.and_then(|value| value.parse().ok());
                    if let Some(last_write) = last_write.filter(|_| seed % 2 == 0) {
                        change.version = ObjectVersion::new(last_write);
                    }
                    None
                }
            };
            for ((log, pending), at) in logs.iter_mut().zip(&mut pending).zip(&mut at) {
                pending.push(change.clone());
                if bool::arbitrary(&mut random) {
                    let from = std::mem::replace(at, ObjectVersion::new(version));
                    log.apply_changes(from, ObjectVersion::new(version), &std::mem::take(pending));
                }
            }
            if u8::arbitrary(&mut random) < 40 {
                let log = &logs[usize::arbitrary(&mut random) % 2];
                if let Some(answer) = log.changes_since(NOW, follower.from) {
                    follower.apply(answer);
                }
            }
        }
        for ((log, pending), at) in logs.iter_mut().zip(&mut pending).zip(at) {
            log.apply_changes(at, ObjectVersion::new(1_199), &std::mem::take(pending));
        }
        if let Some(answer) = logs[0].changes_since(NOW, follower.from) {
            follower.apply(answer);
        }
        assert_eq!(follower.objects, store, "seed {seed}");
    }
}

/// Guards against a removal that followers never learn of because its version is that of the last
/// write, which they have.
#[test]
fn relay_removal_with_old_version() {
    let mut log = log_with_empty_list(5);
    let at = ObjectVersion::new;
    log.apply_changes(at(5), at(6), &[change("a", 6, Some("x"))]);
    log.apply_changes(at(6), at(9), &[change("a", 6, None)]);
    let Some(RelayAnswer::Changes { version, changes, .. }) = log.changes_since(NOW, Some(at(6)))
    else {
        panic!("the removal is not passed on")
    };
    assert_eq!((version, changes), (at(9), vec![change("a", 6, None)]));
    assert_eq!(log.changes_since(NOW, Some(at(9))), None);
}

/// Guards against a relay that is cut off from the store and still confirms the state of its
/// followers.
#[test]
fn relay_cut_off_answers_stale() {
    let log = log_with_empty_list(5);
    let later = NOW.after(4_000);
    assert_eq!(log.changes_since(later, Some(ObjectVersion::new(5))), Some(RelayAnswer::Stale));
    assert_eq!(log.empty_answer(later, ObjectVersion::new(5)), RelayAnswer::Stale);
}

/// Guards against repeated changes for a follower that is ahead of the relay.
#[test]
fn relay_behind_follower() {
    let mut log = log_with_empty_list(5);
    log.apply_changes(ObjectVersion::new(5), ObjectVersion::new(6), &[change("a", 6, Some("1"))]);
    let ahead = ObjectVersion::new(9);
    assert_eq!(log.changes_since(NOW, Some(ahead)), None);
    let RelayAnswer::Changes { version, changes, .. } = log.empty_answer(NOW, ahead) else {
        panic!()
    };
    assert_eq!((version, changes.len()), (ahead, 0));
}

/// Guards against followers that remove entries which lapsed during a store outage that they did
/// not observe.
#[test]
fn relay_reports_outage() {
    let mut log = log_with_empty_list(5);
    log.record_contact(NOW, StoreContact::direct(true));
    log.apply_changes(ObjectVersion::new(5), ObjectVersion::new(6), &[change("a", 6, None)]);
    let reported =
        |log: &ChangeLog, at| match log.changes_since(at, Some(ObjectVersion::new(5))).unwrap() {
            RelayAnswer::Changes { store, .. } => store.returned_ms_ago,
            _ => panic!("not the changes"),
        };
    assert_eq!(reported(&log, NOW.after(1_000)), Some(1_000));
    let later = NOW.after(3_000);
    log.record_contact(later, StoreContact::direct(false));
    assert_eq!(reported(&log, later), None);
}

/// Guards against a chain of relays that confirms its state for longer than its first relay does.
#[test]
fn relay_chain_adds_contact_ages() {
    let first = log_with_empty_list(5);
    let mut second = ChangeLog::new();
    let version = ObjectVersion::new(5);
    let asked_at = NOW.after(1_000);
    let RelayAnswer::Listed { objects, store, .. } = first.changes_since(asked_at, None).unwrap()
    else {
        panic!("not the list")
    };
    second.apply_list(version, &objects);
    second.record_contact(asked_at, store);
    assert_eq!(second.changes_since(NOW.after(1_400), Some(version)), None);
    assert_eq!(second.changes_since(NOW.after(1_600), Some(version)), Some(RelayAnswer::Stale));
}

/// Guards against an age of the store's return that restarts at each relay of a chain.
#[test]
fn relay_chain_reports_store_return() {
    let mut first = log_with_empty_list(5);
    first.record_contact(NOW, StoreContact::direct(true));
    let mut second = ChangeLog::new();
    let RelayAnswer::Changes { store, .. } =
        first.empty_answer(NOW.after(1_200), ObjectVersion::new(5))
    else {
        panic!("not the changes")
    };
    second.apply_list(ObjectVersion::new(5), &[]);
    second.record_contact(NOW.after(1_200), store);
    let reported = second.empty_answer(NOW.after(1_400), ObjectVersion::new(5));
    let RelayAnswer::Changes { store, .. } = reported else { panic!("not the changes") };
    assert_eq!(store.returned_ms_ago, Some(1_400));
}

/// Guards against missed changes and outdated lists after a node has skipped versions, as it does
/// when it follows a relay before it becomes one.
#[test]
fn apply_changes_after_gap() {
    let mut log = log_with_empty_list(5);
    let (from, version) = (ObjectVersion::new(8), ObjectVersion::new(9));
    log.apply_changes(from, version, &[change("a", 9, Some("1"))]);
    log.record_contact(NOW, StoreContact::direct(false));
    assert!(log.lacks_list());
    assert_eq!(log.changes_since(NOW, Some(ObjectVersion::new(6))), Some(RelayAnswer::Stale));
    assert_eq!(log.changes_since(NOW, None), Some(RelayAnswer::Stale));
    let Some(RelayAnswer::Changes { changes, .. }) = log.changes_since(NOW, Some(from)) else {
        panic!("not the changes")
    };
    assert_eq!(changes.len(), 1);
    log.apply_list(ObjectVersion::new(9), &[]);
    assert!(!log.lacks_list());
    assert!(matches!(log.changes_since(NOW, None), Some(RelayAnswer::Listed { .. })));
}

/// Guards against followers that receive every intermediate state of an object.
#[test]
fn changes_since_last_of_each_object() {
    let mut log = log_with_empty_list(10);
    let changes: Vec<_> = (11..61)
        .map(|version| change(if version % 2 == 0 { "a" } else { "b" }, version, Some("{}")))
        .collect();
    log.apply_changes(ObjectVersion::new(10), ObjectVersion::new(60), &changes);
    let Some(RelayAnswer::Changes { changes, .. }) =
        log.changes_since(NOW, Some(ObjectVersion::new(10)))
    else {
        panic!("no changes")
    };
    let versions: Vec<_> = changes.iter().map(|change| change.version.get()).collect();
    assert_eq!(versions, [59, 60]);
}

/// Guards against complete lists for all followers while many objects change.
#[test]
fn changes_since_many_objects() {
    let mut log = log_with_empty_list(10);
    let changes: Vec<_> =
        (0..2_000).map(|number| change(&format!("vm-{number}"), 11 + number, Some("{}"))).collect();
    log.apply_changes(ObjectVersion::new(10), ObjectVersion::new(2_010), &changes);
    let answer = log.changes_since(NOW, Some(ObjectVersion::new(10)));
    assert!(matches!(answer, Some(RelayAnswer::Changes { changes, .. }) if changes.len() == 2_000));
}
