//! Order of timely and late requests at one node, by band, rank and organisation.

mod simulator;

use celeryhaven_policy::{FairSettings, Sharing};
use celeryhaven_types::{Idempotency, Priority, RequestHead};
use simulator::{Outcome, Simulator, head};

/// Objective of timely requests, in milliseconds.
const OBJECTIVE_MS: u64 = 2_000;

fn full_node() -> Simulator {
    let settings = FairSettings { decode_ms_per_token: 10.0, ..FairSettings::new(3) }
        .with_sharing(Sharing::Pooled)
        .with_overload_control(true);
    let mut sim = Simulator::with_settings(settings, 1, 4);
    sim.policy.set_sharing(Sharing::Pooled);
    for ticket in 0..4 {
        sim.submit(ticket, &timely("a", 0));
    }
    sim
}

fn timely(organisation: &str, rank: u8) -> RequestHead {
    let start_within_ms = Some(OBJECTIVE_MS);
    RequestHead {
        start_within_ms,
        priority: Priority::new(9 - rank),
        ..head(organisation, 50, 6_000)
    }
}

fn late(organisation: &str) -> RequestHead {
    RequestHead { start_within_ms: None, ..timely(organisation, 0) }
}

/// Returns took the slots of first tries that arrived after them.
#[test]
fn bands_timely_before_earlier_late() {
    let mut sim = full_node();
    sim.submit(10, &late("b"));
    for ticket in 20..24 {
        sim.submit(ticket, &timely("a", 4));
    }
    sim.run_until(OBJECTIVE_MS);
    assert!(
        (20..24)
            .all(|ticket| sim.target_of(ticket).is_some() || sim.outcomes.contains_key(&ticket))
    );
}

/// A surge at a less urgent rank must cost the timely requests of a more urgent one nothing.
#[test]
fn bands_urgent_rank_first() {
    let mut sim = full_node();
    for ticket in 100..200 {
        sim.submit(ticket, &timely("surge", 3));
    }
    sim.submit(10, &timely("a", 0));
    sim.submit(11, &timely("b", 1));
    sim.run_until(20_000);
    let is_answered = |ticket: u64| matches!(sim.outcomes[&ticket], Outcome::Answered { .. });
    assert!(is_answered(10) && is_answered(11));
    sim.assert_all_finished();
}

/// Organisations of one rank get even service in each band.
#[test]
fn bands_even_service_within_rank() {
    let mut sim = full_node();
    for ticket in 100..140 {
        sim.submit(ticket, &timely("flood", 0));
    }
    for ticket in 10..12 {
        sim.submit(ticket, &timely("b", 0));
    }
    sim.run_until(20_000);
    assert_eq!(sim.answered_count("b"), 2);
}

/// A late request that is refused is told to return after a quarter to a third of the time left; one
/// that may run only once keeps the earlier times.
#[test]
fn bands_refused_return_in_time() {
    let mut sim = full_node();
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
            let (left_ms, retry_ms) = (6_000 - at_ms, refusal.retry_after_ms.unwrap());
            assert!(retry_ms * 4 >= left_ms && retry_ms * 3 <= left_ms, "{left_ms}: {retry_ms}");
            refused += 1;
        }
    }
    assert!(refused > 100, "{refused}");
}
