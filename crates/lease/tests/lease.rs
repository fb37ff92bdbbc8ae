//! Leases: who may act, and when no longer.

mod support;

use celeryhaven_lease::{LeaseSettings, Proximity};
use celeryhaven_types::store::StoreReply;
use celeryhaven_types::{Fence, TimeMs};
use support::{Answer, Bench};

#[test]
fn acquire_free_lease_gives_first_fence() {
    let mut bench = Bench::new(1);
    bench.run_to(2_000);
    assert_eq!(bench.fence(0), Some(Fence::new(1)));
}

/// A user would see two controllers order the same VMs. The holder stops renewing (crashed); an
/// observer waits out the whole time from when it last saw a change, then takes over with a higher
/// fencing number, and never while the former holder may still act.
#[test]
fn takeover_after_crash_waits_and_raises_fence() {
    let mut bench = Bench::new(2);
    bench.run_to(3_000);
    let first = bench.holders()[0];
    bench.pause(first);
    let stopped_at = bench.now();
    while bench.holders().iter().all(|i| *i == first) {
        bench.step();
        assert!(bench.now().since(stopped_at) < 60_000, "nobody took over");
    }
    let settings = LeaseSettings::default();
    let took_ms = bench.now().since(stopped_at);
    assert!(took_ms <= settings.ttl_ms + settings.jitter_ms + settings.call_timeout_ms + 200);
    assert_eq!(bench.fence(1 - first), Some(Fence::new(2)));
}

/// A holder's renewal takes effect, its answer is lost. A user would see the domain idle for a whole
/// lapse if the holder gave up, or two holders if it wrote blindly. It reads the object back,
/// recognises its write, and counts its time from when that write was sent.
#[test]
fn renew_answer_lost_is_read_back() {
    let mut bench = Bench::new(2);
    bench.run_to(3_000);
    let holder = bench.holders()[0];
    bench.answers = Answer::Lost;
    bench.run_to(4_100);
    bench.answers = Answer::Given;
    bench.run_to(60_000);
    assert_eq!(bench.fence(holder), Some(Fence::new(1)), "the same holder throughout");
}

/// The holder counts from when it sent the renewal. With a store that answers late, its time must
/// end before that of an observer who saw the write at once.
#[test]
fn held_until_counts_from_sending() {
    let mut bench = Bench::new(1);
    bench.run_to(2_000);
    let settings = LeaseSettings::default();
    let lease = &mut bench.leases[0];
    let renew_at = lease.next_wake(bench.now).expect("it renews");
    lease.poll(renew_at).expect("the renewal is due");
    let answered_at = renew_at.after(settings.call_timeout_ms - 1);
    let version = bench.store.version().next();
    lease.apply_reply(answered_at, StoreReply::Written { version });
    let span_ms = settings.ttl_ms - settings.margin_ms;
    assert_eq!(lease.held_until(), Some(renew_at.after(span_ms)));
}

/// The first write takes effect, its answer is lost. Read back by its identity it counts as ours from
/// when it was sent, without a second write.
#[test]
fn acquire_answer_lost_needs_no_second_write() {
    let mut bench = Bench::new(1);
    while bench.store.object.is_none() {
        bench.answers = Answer::Lost;
        bench.step();
        if bench.store.object.is_none() {
            bench.answers = Answer::Given;
            bench.step();
        }
    }
    bench.answers = Answer::Given;
    while bench.holders().is_empty() {
        bench.step();
    }
    assert_eq!(bench.store.writes, 1);
}

#[test]
fn outage_holder_stops_before_lapse() {
    let mut bench = Bench::new(2);
    bench.run_to(3_000);
    bench.answers = Answer::Down;
    let down_at = bench.now();
    bench.run_to(down_at.get() + LeaseSettings::default().ttl_ms);
    assert!(bench.holders().is_empty());
    bench.answers = Answer::Given;
    bench.run_to(down_at.get() + 20_000);
    assert_eq!(bench.holders().len(), 1);
}

#[test]
fn release_lets_another_take_at_once() {
    let mut bench = Bench::new(2);
    bench.run_to(3_000);
    let holder = bench.holders()[0];
    bench.leases[holder].release();
    assert_eq!(bench.leases[holder].held(bench.now()), None);
    let from = bench.now().get();
    bench.run_to(from + 1_500);
    assert_eq!(bench.fence(1 - holder), Some(Fence::new(2)));
}

/// Stale reads may show the holder as it was. An observer that took them for news would count the
/// lapse anew, or forget a newer holder.
#[test]
fn observe_older_version_is_ignored() {
    let mut bench = Bench::new(1);
    bench.run_to(1_500);
    let old = bench.store.object.clone();
    bench.run_to(10_000);
    let lease = &mut bench.leases[0];
    let before = lease.clone();
    lease.observe(TimeMs::new(10_000), old.as_ref());
    assert_eq!(*lease, before);
}

/// 340 controllers see the same lease lapse. Without random waits and the look before taking, each
/// would write at the same moment: 340 of the store's several hundred writes a second.
#[test]
fn herd_of_340_writes_few_times() {
    let mut bench = Bench::new(340);
    bench.run_to(3_000);
    let first = bench.holders()[0];
    bench.pause(first);
    let before = bench.store.writes;
    while bench.holders().iter().all(|i| *i == first) {
        bench.step();
    }
    let settle_until = bench.now().get() + 1_000;
    bench.run_to(settle_until);
    let writes = bench.store.writes - before;
    println!("writes to take one lapsed lease among 340 candidates: {writes}");
    assert!(writes <= 12, "{writes} writes");
}

#[test]
fn near_candidate_goes_before_far() {
    for seed in 0..20 {
        let mut bench = Bench::with_proximity(seed, &[Proximity::Far, Proximity::Near]);
        bench.run_to(9_000);
        assert_eq!(bench.holders(), [1]);
    }
}
