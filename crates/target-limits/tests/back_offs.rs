//! Pauses that targets ask for.

use celeryhaven_target_limits::BackOffs;
use celeryhaven_types::{TimeMs, VmName};

const STARTED: Option<u64> = Some(7);

fn asked_for(pause_ms: u64) -> (BackOffs, VmName) {
    let (mut back_offs, target) = (BackOffs::new(), VmName::new("vm-1"));
    back_offs.observe(TimeMs::new(100), &target, STARTED, pause_ms);
    (back_offs, target)
}

#[test]
fn back_offs_other_targets() {
    let (back_offs, _) = asked_for(1_000);
    assert!(!back_offs.holds(TimeMs::new(100), &VmName::new("vm-2"), STARTED));
    assert_eq!((back_offs.count(TimeMs::new(100)), back_offs.count(TimeMs::new(1_100))), (1, 0));
}

/// A shorter pause that an answer under way names must not end a longer one.
#[test]
fn back_offs_longest_pause_holds() {
    let (mut back_offs, target) = asked_for(1_000);
    back_offs.observe(TimeMs::new(200), &target, STARTED, 100);
    assert!(back_offs.holds(TimeMs::new(1_099), &target, STARTED));
    back_offs.observe(TimeMs::new(200), &target, STARTED, 5_000);
    assert!(back_offs.holds(TimeMs::new(5_199), &target, STARTED));
    assert_eq!(back_offs.next_end(TimeMs::new(200)), Some(TimeMs::new(5_200)));
    assert_eq!(back_offs.next_end(TimeMs::new(5_200)), None);
}

/// A process that has started again under the same name has asked for nothing.
#[test]
fn back_offs_restarted_target() {
    let (mut back_offs, target) = asked_for(60_000);
    assert!(!back_offs.holds(TimeMs::new(200), &target, Some(8)));
    back_offs.observe(TimeMs::new(200), &target, Some(8), 10);
    assert!(!back_offs.holds(TimeMs::new(210), &target, Some(8)));
}

/// The answer to a request that was sent before the refusal must not end the pause.
#[test]
fn back_offs_answer_within_pause() {
    let (mut back_offs, target) = asked_for(1_000);
    assert!(!back_offs.record_answer(TimeMs::new(500), &target));
    assert!(back_offs.holds(TimeMs::new(500), &target, STARTED));
    assert!(back_offs.record_answer(TimeMs::new(1_100), &target));
    assert_eq!(back_offs.until(&target, STARTED), None);
}

/// Targets that ask for a pause and leave must not fill the memory.
#[test]
fn back_offs_retention() {
    let mut back_offs = BackOffs::new();
    for number in 0..10_000_u64 {
        let target = VmName::new(format!("vm-{number}"));
        back_offs.observe(TimeMs::new(number * 1_000), &target, STARTED, 1_000);
    }
    let known = (0..10_000).map(|number| VmName::new(format!("vm-{number}")));
    let known = known.filter(|target| back_offs.until(target, STARTED).is_some()).count();
    assert!(known <= 62, "{known} are known");
}

/// A pause of any length must not overflow the time.
#[test]
fn back_offs_longest_possible() {
    let (back_offs, target) = asked_for(u64::MAX);
    assert!(back_offs.holds(TimeMs::new(u64::MAX - 1), &target, STARTED));
}
