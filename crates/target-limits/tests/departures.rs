//! Targets that announce that they leave.

use celeryhaven_target_limits::Departures;
use celeryhaven_types::{TimeMs, VmName};

const STARTED: Option<u64> = Some(7);

/// A process that has started again under the same name does not leave.
#[test]
fn departures_restarted_target() {
    let (mut departures, target) = (Departures::new(), VmName::new("vm-1"));
    assert!(departures.observe(TimeMs::new(0), &target, STARTED));
    assert!(!departures.observe(TimeMs::new(1), &target, STARTED));
    assert!(departures.contains(&target, STARTED));
    assert!(!departures.contains(&target, None));
    assert!(departures.observe(TimeMs::new(2), &target, Some(8)));
    assert!(!departures.contains(&target, STARTED));
}

/// Targets that have left must not fill the memory.
#[test]
fn departures_retention() {
    let mut departures = Departures::new();
    for number in 0..10_000_u64 {
        let target = VmName::new(format!("vm-{number}"));
        departures.observe(TimeMs::new(number * 1_000), &target, STARTED);
    }
    let names = (0..10_000).map(|number| VmName::new(format!("vm-{number}")));
    let known = names.filter(|target| departures.contains(target, STARTED)).count();
    assert!(known <= 600, "{known} are known");
}
