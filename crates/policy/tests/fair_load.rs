//! Outcomes under bursts, skew, slow targets, mixed work and saturation.

mod simulator;

use celeryhaven_policy::{FairSettings, Sharing};
use celeryhaven_types::{RefusalCode, Verdict};
use quickcheck::{Arbitrary, Gen};
use simulator::{Outcome, Simulator, head};

#[test]
fn burst_answers_what_fits_and_refuses_the_rest_at_once() {
    // 400 requests arrive at once for 40 slots, with a deadline of two service times. Requests that
    // can't be in time are refused at once, not at their deadline.
    let mut sim = Simulator::new(10, 4);
    for ticket in 0..40 {
        sim.submit(ticket, &head("a", 50, 1_500));
    }
    sim.run_until(10_000);
    for ticket in 100..500 {
        sim.submit(ticket, &head("a", 50, 1_500));
    }
    sim.run_until(20_000);
    sim.assert_all_finished();
    assert!(sim.answered_count("a") >= 40 + 60, "{}", sim.answered_count("a"));
    let refused_late = sim
        .outcomes
        .values()
        .filter(|outcome| matches!(outcome, Outcome::Refused { at_ms, .. } if *at_ms > 10_200))
        .count();
    assert_eq!(refused_late, 0);
}

#[test]
fn burst_refusals_have_spread_retry_times() {
    // Refused callers with the same retry time would return in a synchronized burst.
    let mut sim = Simulator::new(2, 4);
    for ticket in 0..500 {
        sim.submit(ticket, &head("a", 50, 1_500));
    }
    sim.run_until(10_000);
    let retry_times: Vec<_> = sim
        .outcomes
        .values()
        .filter_map(|outcome| match outcome {
            Outcome::Refused { refusal, .. } => refusal.retry_after_ms,
            Outcome::Answered { .. } => None,
        })
        .collect();
    let fullest_second = (0..70)
        .map(|second| retry_times.iter().filter(|&&at| at / 1_000 == second).count())
        .max()
        .unwrap();
    assert!(retry_times.len() > 400);
    assert!(fullest_second * 8 < retry_times.len(), "{fullest_second} of {}", retry_times.len());
}

#[test]
fn flood_does_not_delay_others() {
    // One organisation sends ten times the capacity, the others half of their share. All requests
    // of the others are answered.
    let mut sim = Simulator::new(4, 4);
    sim.organisations(&[("flood", 1), ("b", 1), ("c", 1)]);
    let mut ticket = 0;
    for second in 0..10 {
        for at in 0..10 {
            sim.run_until(second * 1_000 + at * 100);
            for _ in 0..30 {
                sim.submit(ticket, &head("flood", 50, 3_000));
                ticket += 1;
            }
            if at % 2 == 0 {
                sim.submit(ticket, &head("b", 50, 3_000));
                sim.submit(ticket + 1, &head("c", 50, 3_000));
                ticket += 2;
            }
        }
    }
    sim.run_until(30_000);
    sim.assert_all_finished();
    assert_eq!((sim.answered_count("b"), sim.answered_count("c")), (50, 50));
    assert!(sim.answered_count("flood") >= 180, "{}", sim.answered_count("flood"));
}

#[test]
fn idle_shares_are_used_by_others() {
    let mut sim = Simulator::new(4, 4);
    sim.organisations(&[("a", 1), ("b", 100)]);
    for ticket in 0..48 {
        sim.submit(ticket, &head("a", 50, 2_500));
    }
    sim.run_until(10_000);
    assert_eq!(sim.answered_count("a"), 48);
}

#[test]
fn slow_target_is_ejected_and_probed() {
    // A target eight times slower than its peers receives only probes until it has recovered.
    let mut sim = Simulator::new(6, 4);
    sim.slow_down(2, 8);
    let mut ticket = 0;
    let mut late_sends = 0;
    for at in 0..600 {
        sim.run_until(at * 50);
        sim.submit(ticket, &head("a", 20, 10_000));
        let sent_to_slow = sim.target_of(ticket) == Some(2);
        late_sends += usize::from(at >= 300 && sent_to_slow);
        ticket += 1;
    }
    assert!(late_sends <= 4, "{late_sends} sent to the slow target");
    sim.slow_down(2, 1);
    for at in 600..1_800 {
        sim.run_until(at * 50);
        sim.submit(ticket, &head("a", 20, 10_000));
        ticket += 1;
    }
    let recovered = (1_400..1_800).filter(|ticket| sim.dispatched[ticket] == [2]).count();
    assert!(recovered >= 20, "{recovered} sent to the recovered target");
}

#[test]
fn ejection_is_bounded() {
    // Four of five targets become slow at once. Ejecting all of them would overload the fifth.
    let mut sim = Simulator::new(5, 4);
    for (ticket, at) in (0_u64..).zip(0..400) {
        if at == 100 {
            (1..5).for_each(|target| sim.slow_down(target, 6));
        }
        sim.run_until(at * 100);
        sim.submit(ticket, &head("a", 20, 20_000));
    }
    let used: std::collections::BTreeSet<_> =
        (300..400).filter_map(|ticket| sim.dispatched.get(&ticket)).flatten().collect();
    assert!(used.len() >= 4, "{used:?}");
}

#[test]
fn short_requests_are_not_starved_by_long_ones() {
    // Long requests fill all slots and the queue; short requests of the same organisation with
    // short deadlines are still answered.
    let mut sim = Simulator::new(4, 4);
    let mut ticket = 0;
    let mut short_requests = Vec::new();
    for at in 0..100 {
        sim.run_until(at * 100);
        for _ in 0..3 {
            sim.submit(ticket, &head("a", 200, 20_000));
            ticket += 1;
        }
        sim.submit(ticket, &head("a", 10, 1_500));
        short_requests.push(ticket);
        ticket += 1;
    }
    sim.run_until(60_000);
    sim.assert_all_finished();
    let answered = short_requests
        .iter()
        .filter(|ticket| matches!(sim.outcomes[ticket], Outcome::Answered { .. }))
        .count();
    assert!(answered >= 95, "{answered} of {}", short_requests.len());
}

#[test]
fn saturation_keeps_goodput() {
    // Offered load of five times the capacity does not lower the goodput.
    let goodput = |each: u64| {
        let mut sim = Simulator::new(4, 4);
        let mut ticket = 0;
        for at in 0..200 {
            sim.run_until(at * 100);
            for _ in 0..each {
                sim.submit(ticket, &head("a", 50, 3_000));
                ticket += 1;
            }
        }
        sim.run_until(40_000);
        sim.assert_all_finished();
        sim.answered_count("a")
    };
    let (full, over) = (goodput(3), goodput(15));
    assert!(over * 100 >= full * 95, "{over} of {full}");
}

#[test]
fn lost_capacity_refuses_late_requests_at_once() {
    // Three of four targets are removed. Queued requests that can no longer be in time are refused
    // at once, not at their deadline.
    let mut sim = Simulator::new(4, 4);
    for ticket in 0..64 {
        sim.submit(ticket, &head("a", 100, 5_000));
    }
    sim.run_until(100);
    let refused_before = sim.outcomes.len();
    (1..4).for_each(|target| sim.target_down(target));
    sim.run_until(300);
    let refused = sim.outcomes.len() - refused_before;
    assert!(refused >= 20, "{refused} refused at once");
    sim.run_until(20_000);
    sim.assert_all_finished();
}

#[test]
fn last_target_down_refuses_the_queue_at_once() {
    let mut sim = Simulator::new(1, 2);
    for ticket in 0..6 {
        sim.submit(ticket, &head("a", 100, 9_000));
    }
    sim.run_until(50);
    sim.target_down(0);
    sim.run_until(250);
    let refused = sim.outcomes.values().filter(|outcome| {
        matches!(outcome, Outcome::Refused { refusal, .. } if refusal.code == RefusalCode::NoReplica
            && refusal.verdict == Verdict::NotRun && refusal.retry_after_ms.is_some())
    });
    assert_eq!(refused.count(), 4);
    sim.run_until(9_000);
    sim.assert_all_finished();
}

#[test]
fn shares_leave_slots_for_other_entries() {
    // Eight entry nodes send in a synchronized burst, before any report shows the others' requests.
    // Each stays within its share, or the targets would be overloaded eightfold.
    let mut sim =
        Simulator::with_settings(FairSettings::new(1).with_sharing(Sharing::Borrowing), 4, 16);
    sim.set_senders(8);
    for ticket in 0..200 {
        sim.submit(ticket, &head("a", 50, 60_000));
    }
    assert!(sim.max_running.values().all(|&most| most == 2), "{:?}", sim.max_running);
    sim.report_load(0, 2);
    assert!((3..=4).contains(&sim.max_running[&0]), "{:?}", sim.max_running);
}

#[derive(Clone, Debug)]
enum Step {
    Request(u8, u8, u16),
    FailAttempt(u8, bool),
    TargetDown(u8),
    TargetUp(u8),
    Slow(u8, u8),
    Wait(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 10 {
            0..5 => Self::Request(u8::arbitrary(g), u8::arbitrary(g), u16::arbitrary(g)),
            5 => Self::FailAttempt(u8::arbitrary(g), bool::arbitrary(g)),
            6 => Self::TargetDown(u8::arbitrary(g)),
            7 => Self::TargetUp(u8::arbitrary(g)),
            8 => Self::Slow(u8::arbitrary(g), u8::arbitrary(g)),
            _ => Self::Wait(u16::arbitrary(g) % 1_000),
        }
    }
}

fn run_steps(seed: u64) -> Simulator {
    let mut g = Gen::from_size_and_seed(300, seed);
    let mut sim = Simulator::new(4, 2);
    for (ticket, step) in (0_u64..).zip(Vec::<Step>::arbitrary(&mut g)) {
        match step {
            Step::Request(organisation, tokens, deadline) => {
                let name = ["a", "b", "c"][usize::from(organisation % 3)];
                sim.submit(ticket, &head(name, u32::from(tokens) + 1, u64::from(deadline % 8_000)));
            }
            Step::FailAttempt(index, ran) => {
                let running: Vec<_> =
                    sim.requests.keys().copied().filter(|&t| sim.target_of(t).is_some()).collect();
                if let Some(&ticket) = running.get(usize::from(index) % running.len().max(1)) {
                    sim.fail_attempt(
                        ticket,
                        if ran { Verdict::MayHaveRun } else { Verdict::NotRun },
                    );
                }
            }
            Step::TargetDown(target) => sim.target_down(u32::from(target % 4)),
            Step::TargetUp(target) => sim.target_up(u32::from(target % 4), 2),
            Step::Slow(target, by) => sim.slow_down(u32::from(target % 4), u64::from(by % 9) + 1),
            Step::Wait(span_ms) => sim.run_until(sim.now_ms + u64::from(span_ms)),
        }
    }
    sim.run_until(sim.now_ms + 100_000);
    sim
}

#[test]
fn steps_any_order_finish_every_ticket_once() {
    for seed in 0..300 {
        run_steps(seed).assert_all_finished();
    }
}

#[test]
fn steps_same_seed_decide_the_same() {
    for seed in 0..20 {
        let (first, second) = (run_steps(seed), run_steps(seed));
        assert_eq!(first.outcomes, second.outcomes);
        assert_eq!(first.dispatched, second.dispatched);
    }
}

#[test]
fn pooled_node_with_twice_its_share_sends_at_once() {
    // A node that receives twice the average number of callers uses twice its even share of the
    // slots while the replicas have free ones.
    let settings = FairSettings::new(3).with_sharing(Sharing::Pooled);
    let mut sim = Simulator::with_settings(settings, 16, 34);
    sim.policy.set_sharing(Sharing::Pooled);
    sim.set_senders(91);
    for ticket in 0..11 {
        sim.submit(ticket, &head("a", 50, 6_000));
    }
    assert!((0..11).all(|ticket| sim.target_of(ticket).is_some()));
    // Further requests wait, so that one node can't take the slots of the others.
    for ticket in 11..40 {
        sim.submit(ticket, &head("a", 50, 6_000));
    }
    let sent = (0..40).filter(|&ticket| sim.target_of(ticket).is_some()).count();
    assert!(sent <= 12, "{sent} sent");
}
