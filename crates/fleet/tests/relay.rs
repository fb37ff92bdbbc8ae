//! A relay's log tells each node exactly what it lacks.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeMap;

use celeryhaven_fleet::{ChangeLog, RelayAnswer};
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

/// A node that follows relays, and what it believes.
#[derive(Default)]
struct Follower {
    from: Option<ObjectVersion>,
    objects: BTreeMap<ObjectKey, String>,
}

impl Follower {
    fn take(&mut self, answer: RelayAnswer) {
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

/// Two relays hear the same changes in other portions, and a follower goes from one to the other at
/// random. Whenever it has caught up, it holds what the store holds: nothing missed, nothing old.
#[test]
fn relay_followers_agree_with_store() {
    for seed in 0..200 {
        let mut random = Gen::from_size_and_seed(20, seed);
        let (mut logs, mut pending) = ([ChangeLog::new(), ChangeLog::new()], [vec![], vec![]]);
        let mut store: BTreeMap<ObjectKey, String> = BTreeMap::new();
        let mut follower = Follower::default();
        logs.iter_mut().for_each(|log| log.listed(NOW, ObjectVersion::new(1), &[]));
        for version in 2..1_200_u64 {
            let key = ["a", "b", "c", "d"][usize::arbitrary(&mut random) % 4];
            let value = bool::arbitrary(&mut random).then(|| version.to_string());
            let change = change(key, version, value.as_deref());
            match value {
                Some(value) => store.insert(change.key.clone(), value),
                None => store.remove(&change.key),
            };
            for (log, pending) in logs.iter_mut().zip(&mut pending) {
                pending.push(change.clone());
                if bool::arbitrary(&mut random) {
                    log.changed(NOW, ObjectVersion::new(version), &std::mem::take(pending));
                }
            }
            if u8::arbitrary(&mut random) < 40 {
                let log = &logs[usize::arbitrary(&mut random) % 2];
                if let Some(answer) = log.since(NOW, follower.from) {
                    follower.take(answer);
                }
            }
        }
        for (log, pending) in logs.iter_mut().zip(&mut pending) {
            log.changed(NOW, ObjectVersion::new(1_199), &std::mem::take(pending));
        }
        if let Some(answer) = logs[0].since(NOW, follower.from) {
            follower.take(answer);
        }
        assert_eq!(follower.objects, store, "seed {seed}");
    }
}

/// A relay is cut off from the store. It must not hold its followers, who may reach the store.
#[test]
fn relay_cut_off_vouches_for_nothing() {
    let mut log = ChangeLog::new();
    log.listed(NOW, ObjectVersion::new(5), &[]);
    let later = NOW.after(4_000);
    assert_eq!(log.since(later, Some(ObjectVersion::new(5))), Some(RelayAnswer::Stale));
    assert_eq!(log.nothing_new(later, ObjectVersion::new(5)), RelayAnswer::Stale);
}

/// A follower was at a relay that is ahead of this one. It keeps its place and gets nothing twice.
#[test]
fn relay_behind_its_follower() {
    let mut log = ChangeLog::new();
    log.listed(NOW, ObjectVersion::new(5), &[]);
    log.changed(NOW, ObjectVersion::new(6), &[change("a", 6, Some("1"))]);
    let ahead = ObjectVersion::new(9);
    assert_eq!(log.since(NOW, Some(ahead)), None);
    let RelayAnswer::Changes { version, changes, .. } = log.nothing_new(NOW, ahead) else {
        panic!()
    };
    assert_eq!((version, changes.len()), (ahead, 0));
}

/// The store was away and entries lapsed meanwhile. A follower that heard of no outage must learn of
/// it with the removals, or it drops targets that are back two seconds later.
#[test]
fn relay_tells_of_outage() {
    let mut log = ChangeLog::new();
    log.listed(NOW, ObjectVersion::new(5), &[]);
    log.outage_over(NOW);
    log.changed(NOW, ObjectVersion::new(6), &[change("a", 6, None)]);
    let told = |log: &ChangeLog, at| match log.since(at, Some(ObjectVersion::new(5))).unwrap() {
        RelayAnswer::Changes { after_outage, .. } => after_outage,
        _ => panic!("not the changes"),
    };
    assert!(told(&log, NOW.after(1_000)));
    let later = NOW.after(3_000);
    log.changed(later, ObjectVersion::new(6), &[]);
    assert!(!told(&log, later));
}
