//! Order of timely and late requests at one node, by band, rank and organisation.

mod simulator;

use celeryhaven_policy::{FairSettings, Sharing};
use celeryhaven_types::{Idempotency, Priority, RequestHead, Verdict};
use simulator::{Outcome, Simulator, head};

/// Objective of timely requests and limit of their callers, in milliseconds.
const OBJECTIVE_MS: u64 = 6_000;
const LIMIT_MS: u64 = 20_000;

/// A node with one target whose slots are taken for half a second.
fn full_node(slots: u32) -> Simulator {
    let settings = FairSettings { decode_ms_per_token: 10.0, ..FairSettings::new(3) }
        .with_sharing(Sharing::Pooled)
        .with_overload_control(true);
    let mut sim = Simulator::with_settings(settings, 1, slots);
    sim.policy.set_sharing(Sharing::Pooled);
    for ticket in 0..u64::from(slots) {
        sim.submit(ticket, &timely("a", 0));
    }
    sim
}

fn timely(organisation: &str, rank: u8) -> RequestHead {
    let start_within_ms = Some(OBJECTIVE_MS);
    RequestHead {
        start_within_ms,
        priority: Priority::new(9 - rank),
        ..head(organisation, 50, LIMIT_MS)
    }
}

fn late(organisation: &str) -> RequestHead {
    RequestHead { start_within_ms: None, ..timely(organisation, 0) }
}

/// Returns took the slots of first tries, as their organisation had been served less.
#[test]
fn bands_timely_before_earlier_late() {
    let mut sim = full_node(1);
    sim.submit(10, &late("b"));
    for ticket in 20..23 {
        sim.submit(ticket, &timely("a", 4));
    }
    while sim.target_of(10).is_none() && sim.now_ms < LIMIT_MS {
        sim.run_until(sim.now_ms + 10);
    }
    let answered = (20..23).filter(|ticket| sim.outcomes.contains_key(ticket)).count();
    assert_eq!(answered, 3, "{:?}", sim.outcomes);
}

/// A surge at a less urgent rank must cost the timely requests of a more urgent one nothing.
#[test]
fn bands_urgent_rank_first() {
    let mut sim = full_node(1);
    for ticket in 100..130 {
        sim.submit(ticket, &timely("surge", 3));
    }
    for ticket in 10..14 {
        sim.submit(ticket, &timely("b", 0));
    }
    let is_answered = |sim: &Simulator, ticket: u64| sim.outcomes.contains_key(&ticket);
    while !(10..14).all(|ticket| is_answered(&sim, ticket)) && sim.now_ms < LIMIT_MS {
        sim.run_until(sim.now_ms + 10);
    }
    let surge = (100..130).filter(|&ticket| sim.dispatched.contains_key(&ticket)).count();
    assert!(surge <= 1, "{surge} of the surge were sent before");
}

/// Organisations of one rank get even service in each band.
#[test]
fn bands_even_service_within_rank() {
    let mut sim = full_node(4);
    for ticket in 100..140 {
        sim.submit(ticket, &timely("flood", 0));
    }
    for ticket in 10..12 {
        sim.submit(ticket, &timely("b", 0));
    }
    sim.run_until(20_000);
    assert_eq!(sim.answered_count("b"), 2);
}

/// A late answer that breaks off after its latest start must go on elsewhere rather than be refused.
#[test]
fn bands_late_stream_resumed() {
    let settings = FairSettings { decode_ms_per_token: 10.0, ..FairSettings::new(3) }
        .with_overload_control(true)
        .with_cancel_late_rest(false);
    let mut sim = Simulator::with_settings(settings, 2, 4);
    sim.submit(1, &RequestHead { output_tokens_max: 700, ..late("a") });
    sim.run_until(6_000);
    sim.fail_attempt(1, Verdict::MayHaveRun);
    assert!(sim.target_of(1).is_some(), "{:?}", sim.outcomes);
}

/// A late request that is refused is told to return after a quarter to a third of the time left; one
/// that may run only once keeps the earlier times.
#[test]
fn bands_refused_return_in_time() {
    let mut sim = full_node(4);
    for ticket in 100..300 {
        sim.submit(ticket, &late("a"));
    }
    let once = RequestHead { idempotency: Idempotency::NonIdempotent, ..timely("a", 0) };
    sim.submit(400, &once);
    sim.run_until(20_000);
    sim.assert_all_finished();
    let mut refused = 0;
    for ticket in 100..300 {
        if let Outcome::Refused { at_ms, refusal } = &sim.outcomes[&ticket] {
            let (left_ms, retry_ms) = (LIMIT_MS - at_ms, refusal.retry_after_ms.unwrap());
            assert!(retry_ms * 4 >= left_ms && retry_ms * 3 <= left_ms, "{left_ms}: {retry_ms}");
            refused += 1;
        }
    }
    assert!(refused > 100, "{refused}");
}
