//! A leaving target receives no requests after a few seconds, even if the VM list is late.

mod common;

use celeryhaven_checks::{Bounds, Tally};
use common::{Fault, KeySource, Plan, World};

/// Delay of the VM list.
const LIST_LAG_MS: u64 = 1_000;
/// Delay of the list, one read interval and the read itself.
const BOUNDS: Bounds = Bounds { loss_ms: 1_500, leaving_ms: LIST_LAG_MS + 1_000 + 40 };
const ENTRIES: usize = 4;

fn under_load(faults: &[(u64, Fault)]) -> Tally {
    let mut world = World::new(31, ENTRIES, BOUNDS);
    for (at_ms, fault) in faults {
        world.fault(*at_ms, fault.clone());
    }
    for n in 0..1_000_u64 {
        let entry = usize::try_from(n).unwrap_or_default() % ENTRIES;
        world.operation(1_000 + n * 10, &[entry], Plan { retries: 0, ..Plan::draft(30) });
        let update = Plan { retries: 0, ..Plan::update(KeySource::None) };
        world.operation(1_000 + n * 10, &[entry], update);
    }
    world.run_until(30_000);
    assert_eq!(world.checks.finish(), vec![], "{faults:?}");
    world.checks.tally()
}

#[test]
fn leaving_by_vm_list() {
    for vm in ["p1", "a", "b"] {
        for at_ms in (3_000..4_000).step_by(100) {
            let tally = under_load(&[(at_ms, Fault::LeaveVm { vm, by_vm_list: true })]);
            assert_eq!(tally.answered, tally.calls, "running requests must complete");
        }
    }
}

#[test]
fn leaving_by_operators_drain() {
    // A drain is a configuration change. Relays forward it at once; an entry that misses both
    // messages learns of it with its next query, a second later.
    for vm in ["p1", "b"] {
        let tally = under_load(&[(3_000, Fault::LeaveVm { vm, by_vm_list: false })]);
        assert_eq!(tally.answered, tally.calls);
        println!("{vm}: {} ms", tally.worst_after_leaving_ms);
        assert!(tally.worst_after_leaving_ms <= 1_110, "{tally:?}");
    }
}

#[test]
fn leaving_while_store_is_down() {
    let down = (2_500, Fault::StoreDown { for_ms: 6_000 });
    let tally = under_load(&[down, (3_000, Fault::LeaveVm { vm: "b", by_vm_list: true })]);
    assert_eq!(tally.answered, tally.calls);
}

#[test]
fn leaving_while_entry_is_paused() {
    // A target leaves while an entry is paused. Its polls still succeed after the pause, so the
    // entry must reread list and configuration before it sends requests.
    for by_vm_list in [true, false] {
        let pause = Fault::PauseEntry { entry: 1, for_ms: 4_000 };
        let leave = Fault::LeaveVm { vm: "p1", by_vm_list };
        under_load(&[(3_000, pause), (3_100, leave)]);
    }
}
