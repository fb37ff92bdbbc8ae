//! The cost of one decision is bounded, counted in visited targets and queue entries.

mod loaded_policy;

use loaded_policy::LoadedPolicy;

/// Maximum visits per pick: two random candidates, four that cache the prefix, four that have the
/// adapter, and the queue operations.
const PICK_VISITS_MAX: u64 = 16;

/// Maximum visits to admit or refuse one request.
const ADMISSION_VISITS_MAX: u64 = 140;

fn visits(loaded: &mut LoadedPolicy, decide: impl Fn(&mut LoadedPolicy)) -> u64 {
    let before = loaded.policy.visits();
    (0..50).for_each(|_| decide(loaded));
    (loaded.policy.visits() - before) / 50
}

#[test]
fn pick_visits_are_flat_in_targets() {
    let few = visits(&mut LoadedPolicy::idle(60), LoadedPolicy::pick);
    let many = visits(&mut LoadedPolicy::idle(8_400), LoadedPolicy::pick);
    assert!(few <= PICK_VISITS_MAX && many <= few, "{few} at 60 targets, {many} at 8,400");
}

#[test]
fn admit_visits_are_flat_in_targets() {
    let few = visits(&mut LoadedPolicy::full(60, 1_000), LoadedPolicy::admit);
    let many = visits(&mut LoadedPolicy::full(8_400, 1_000), LoadedPolicy::admit);
    assert!(many <= few + 4, "{few} at 60 targets, {many} at 8,400");
}

#[test]
fn admit_visits_are_bounded_in_queue_length() {
    let few = visits(&mut LoadedPolicy::full(60, 10), LoadedPolicy::admit);
    let many = visits(&mut LoadedPolicy::full(60, 10_000), LoadedPolicy::admit);
    assert!(few <= many && many <= ADMISSION_VISITS_MAX, "{few} at 10, {many} at 10,000 waiting");
}

#[test]
fn refuse_visits_are_bounded_in_queue_length() {
    let many = visits(&mut LoadedPolicy::full(60, 10_000), LoadedPolicy::refuse);
    assert!(many <= ADMISSION_VISITS_MAX, "{many} at 10,000 waiting");
}
