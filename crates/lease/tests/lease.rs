//! Acquisition, renewal, expiry and release of leases.

mod support;

use celeryhaven_lease::{LeaseSettings, Proximity};
use celeryhaven_types::store::StoreReply;
use celeryhaven_types::{Fence, TimeMs};
use support::{Simulation, StoreMode};

#[test]
fn acquire_free_lease_gives_first_fence() {
    let mut simulation = Simulation::new(1);
    simulation.run_to(2_000);
    assert_eq!(simulation.fence(0), Some(Fence::new(1)));
}

/// A candidate must not take over from a crashed holder while that may still act, and must raise the
/// fencing number. Otherwise two controllers could send orders to the same VMs.
#[test]
fn takeover_after_crash_waits_and_raises_fence() {
    let mut simulation = Simulation::new(2);
    simulation.run_to(3_000);
    let first_holder = simulation.holders()[0];
    simulation.pause(first_holder);
    let stopped_at = simulation.now();
    while simulation.holders().iter().all(|i| *i == first_holder) {
        simulation.step();
        assert!(simulation.now().since(stopped_at) < 60_000, "nobody took over");
    }
    let settings = LeaseSettings::default();
    let took_ms = simulation.now().since(stopped_at);
    assert!(took_ms <= settings.ttl_ms + settings.jitter_ms + settings.call_timeout_ms + 200);
    assert_eq!(simulation.fence(1 - first_holder), Some(Fence::new(2)));
}

/// A renewal takes effect but its reply is lost. The holder must recognise its write when it reads
/// the object back, and keep the lease.
#[test]
fn renew_reply_lost_is_read_back() {
    let mut simulation = Simulation::new(2);
    simulation.run_to(3_000);
    let holder = simulation.holders()[0];
    simulation.store_mode = StoreMode::ReplyLost;
    simulation.run_to(4_100);
    simulation.store_mode = StoreMode::Available;
    simulation.run_to(60_000);
    assert_eq!(simulation.fence(holder), Some(Fence::new(1)), "the same holder throughout");
}

/// With a slow store, the holder's term must still end before the lease expires for a candidate that
/// observed the write at once.
#[test]
fn held_until_counts_from_sending() {
    let mut simulation = Simulation::new(1);
    simulation.run_to(2_000);
    let settings = LeaseSettings::default();
    let lease = &mut simulation.leases[0];
    let renew_at = lease.next_wake(simulation.now).expect("it renews");
    lease.poll(renew_at).expect("the renewal is due");
    let replied_at = renew_at.after(settings.call_timeout_ms - 1);
    let version = simulation.store.version().next();
    lease.apply_reply(replied_at, StoreReply::Written { version });
    let span_ms = settings.ttl_ms - settings.margin_ms;
    assert_eq!(lease.held_until(), Some(renew_at.after(span_ms)));
}

/// The first write takes effect but its reply is lost. The candidate must recognise it when it reads
/// the object back, without a second write.
#[test]
fn acquire_reply_lost_needs_no_second_write() {
    let mut simulation = Simulation::new(1);
    while simulation.store.object.is_none() {
        simulation.store_mode = StoreMode::ReplyLost;
        simulation.step();
        if simulation.store.object.is_none() {
            simulation.store_mode = StoreMode::Available;
            simulation.step();
        }
    }
    simulation.store_mode = StoreMode::Available;
    while simulation.holders().is_empty() {
        simulation.step();
    }
    assert_eq!(simulation.store.writes, 1);
}

#[test]
fn store_outage_stops_holder_before_expiry() {
    let mut simulation = Simulation::new(2);
    simulation.run_to(3_000);
    simulation.store_mode = StoreMode::Unavailable;
    let outage_at = simulation.now();
    simulation.run_to(outage_at.get() + LeaseSettings::default().ttl_ms);
    assert!(simulation.holders().is_empty());
    simulation.store_mode = StoreMode::Available;
    simulation.run_to(outage_at.get() + 20_000);
    assert_eq!(simulation.holders().len(), 1);
}

#[test]
fn release_allows_immediate_takeover() {
    let mut simulation = Simulation::new(2);
    simulation.run_to(3_000);
    let holder = simulation.holders()[0];
    simulation.leases[holder].release();
    assert_eq!(simulation.leases[holder].held(simulation.now()), None);
    let from = simulation.now().get();
    simulation.run_to(from + 1_500);
    assert_eq!(simulation.fence(1 - holder), Some(Fence::new(2)));
}

/// A stale read must not restart the time to expiry or replace a newer holder.
#[test]
fn observe_older_version_is_ignored() {
    let mut simulation = Simulation::new(1);
    simulation.run_to(1_500);
    let old = simulation.store.object.clone();
    simulation.run_to(10_000);
    let lease = &mut simulation.leases[0];
    let before = lease.clone();
    lease.observe(TimeMs::new(10_000), old.as_ref());
    assert_eq!(*lease, before);
}

/// When a lease with 340 candidates expires, a synchronized burst of writes would overload the
/// store. Random waits and the read before each acquisition prevent it.
#[test]
fn expired_lease_with_340_candidates_needs_few_writes() {
    let mut simulation = Simulation::new(340);
    simulation.run_to(3_000);
    let first_holder = simulation.holders()[0];
    simulation.pause(first_holder);
    let before = simulation.store.writes;
    while simulation.holders().iter().all(|i| *i == first_holder) {
        simulation.step();
    }
    let run_until = simulation.now().get() + 1_000;
    simulation.run_to(run_until);
    let writes = simulation.store.writes - before;
    println!("writes to acquire an expired lease with 340 candidates: {writes}");
    assert!(writes <= 12, "{writes} writes");
}

#[test]
fn near_candidate_acquires_before_far() {
    for seed in 0..20 {
        let mut simulation = Simulation::with_proximity(seed, &[Proximity::Far, Proximity::Near]);
        simulation.run_to(9_000);
        assert_eq!(simulation.holders(), [1]);
    }
}
