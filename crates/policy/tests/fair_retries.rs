//! Retries and refusals after failed attempts.

mod simulator;

use celeryhaven_policy::{
    Decision, FairSettings, PolicyEvent, RequestPolicy, SharedRetryBudget, Ticket,
};
use celeryhaven_types::{Idempotency, RefusalCode, RequestHead, TimeMs, Verdict};
use simulator::{Outcome, Simulator, head};

fn refused(sim: &Simulator, ticket: u64) -> (RefusalCode, Verdict) {
    match &sim.outcomes[&ticket] {
        Outcome::Refused { refusal, .. } => (refusal.code, refusal.verdict),
        Outcome::Answered { .. } => panic!("ticket {ticket} was answered"),
    }
}

fn non_idempotent() -> RequestHead {
    RequestHead { idempotency: Idempotency::NonIdempotent, ..head("a", 50, 9_000) }
}

#[test]
fn failed_not_run_is_retried_elsewhere() {
    let mut sim = Simulator::new(3, 2);
    sim.submit(1, &non_idempotent());
    sim.fail_attempt(1, Verdict::NotRun);
    assert_eq!(sim.dispatched[&1].len(), 2);
    assert_ne!(sim.dispatched[&1][0], sim.dispatched[&1][1]);
    sim.run_until(10_000);
    sim.assert_all_finished();
    assert_eq!(sim.answered_count("a"), 1);
}

#[test]
fn failed_may_have_run_is_not_retried_unless_idempotent() {
    // A non-idempotent request reached its target and the answer was lost. It must not run twice.
    let mut sim = Simulator::new(3, 2);
    sim.submit(1, &non_idempotent());
    sim.run_until(100);
    sim.fail_attempt(1, Verdict::MayHaveRun);
    assert_eq!(refused(&sim, 1), (RefusalCode::AnswerLost, Verdict::MayHaveRun));
    assert_eq!(sim.dispatched[&1].len(), 1);
}

#[test]
fn failed_may_have_run_is_retried_if_idempotent() {
    let mut sim = Simulator::new(3, 2);
    sim.submit(1, &head("a", 50, 9_000));
    sim.fail_attempt(1, Verdict::MayHaveRun);
    sim.run_until(10_000);
    assert_eq!(sim.answered_count("a"), 1);
}

#[test]
fn failed_too_late_to_retry_is_refused_at_once() {
    let mut sim = Simulator::new(3, 2);
    sim.submit(1, &head("a", 50, 1_000));
    sim.run_until(550);
    sim.fail_attempt(1, Verdict::MayHaveRun);
    assert_eq!(refused(&sim, 1), (RefusalCode::AnswerLost, Verdict::MayHaveRun));
}

#[test]
fn failed_every_attempt_stays_within_retry_budget() {
    // Every attempt fails. The retry budget must limit the attempts to a fraction of the arrivals.
    let mut sim = Simulator::new(4, 100);
    let mut attempts = 0;
    for ticket in 0..2_000 {
        sim.submit(ticket, &head("a", 50, 9_000));
        while sim.target_of(ticket).is_some() {
            attempts += 1;
            sim.fail_attempt(ticket, Verdict::MayHaveRun);
        }
    }
    sim.run_until(20_000);
    sim.assert_all_finished();
    assert!(attempts <= 2_000 + 100 + 400, "{attempts}");
}

#[test]
fn retried_then_refused_reports_may_have_run() {
    // The first attempt may have run, the second did not. The refusal must not claim `NotRun`.
    let mut sim = Simulator::new(2, 1);
    sim.submit(1, &head("a", 50, 1_200));
    sim.run_until(300);
    sim.fail_attempt(1, Verdict::MayHaveRun);
    sim.run_until(800);
    sim.fail_attempt(1, Verdict::NotRun);
    assert_eq!(refused(&sim, 1).1, Verdict::MayHaveRun);
}

#[test]
fn stuck_start_moves_to_another_target() {
    // A paused VM keeps its connections open but does not answer. The request must be retried
    // elsewhere before its deadline.
    let mut sim = Simulator::new(3, 2);
    (0..3).for_each(|target| sim.slow_down(target, 1));
    sim.submit(0, &head("a", 50, 9_000));
    sim.run_until(2_000);
    (0..3).for_each(|target| sim.slow_down(target, 1_000));
    sim.submit(1, &head("a", 50, 9_000));
    (0..3).for_each(|target| sim.slow_down(target, 1));
    sim.run_until(10_000);
    sim.assert_all_finished();
    assert_eq!(sim.dispatched[&1].len(), 2);
    assert_eq!(sim.answered_count("a"), 2);
}

#[test]
fn stuck_start_non_idempotent_is_not_moved() {
    let mut sim = Simulator::new(3, 2);
    (0..3).for_each(|target| sim.slow_down(target, 100));
    sim.submit(1, &non_idempotent());
    sim.run_until(8_000);
    assert_eq!(sim.dispatched[&1].len(), 1);
    assert_eq!(sim.target_of(1), Some(sim.dispatched[&1][0]));
}

#[test]
fn late_start_is_cancelled_at_once() {
    // The first token is so late that the rest can't be in time. The slot must be freed at once,
    // not at the deadline.
    let mut sim = Simulator::new(1, 1);
    for ticket in 10..40 {
        sim.submit(ticket, &head("a", 200, 9_000));
        sim.run_until(sim.now_ms + 3_000);
    }
    let submitted_ms = sim.now_ms;
    sim.slow_down(0, 45);
    sim.submit(1, &head("a", 200, 3_500));
    sim.run_until(submitted_ms + 2_699);
    assert_eq!(sim.target_of(1), Some(0));
    sim.run_until(submitted_ms + 2_701);
    assert_eq!(refused(&sim, 1), (RefusalCode::AnswerLost, Verdict::MayHaveRun));
}

#[test]
fn ejection_moves_streams_off_a_paused_target() {
    // A VM is paused while it streams answers, which causes no event. After later requests show
    // that the target is stuck, the streams must be retried elsewhere too.
    let mut sim = Simulator::new(4, 8);
    for ticket in 0..4 {
        sim.submit(ticket, &head("a", 400, 60_000));
    }
    let paused = sim.dispatched[&0][0];
    sim.run_until(1_000);
    sim.pause(paused);
    for ticket in 10..40 {
        sim.submit(ticket, &head("a", 50, 60_000));
        sim.run_until(sim.now_ms + 200);
    }
    sim.run_until(59_000);
    sim.assert_all_finished();
    assert_eq!(sim.answered_count("a"), 34);
    assert!(sim.dispatched[&0].len() >= 2, "{:?}", sim.dispatched[&0]);
}

#[test]
fn silent_target_is_ejected_and_its_streams_move() {
    // A VM is paused while all its slots are in use, so no new request can show it. The missing
    // reports must lead to its ejection.
    let mut sim = Simulator::new(4, 1);
    for ticket in 0..3 {
        sim.submit(ticket, &head("a", 300, 20_000));
    }
    let paused = sim.dispatched[&0][0];
    for at in 0..40 {
        sim.run_until(at * 500);
        if at == 2 {
            sim.pause(paused);
        }
        (0..4).filter(|&target| target != paused || at < 2).for_each(|it| sim.report_load(it, 1));
    }
    sim.run_until(30_000);
    sim.assert_all_finished();
    assert_eq!(sim.answered_count("a"), 3);
    assert_eq!(sim.dispatched[&0].len(), 2);
}

#[test]
fn silent_target_without_reports_is_not_ejected() {
    // Plain services send no load reports and must not be ejected as silent.
    let mut sim = Simulator::new(4, 1);
    sim.submit(0, &head("a", 900, 60_000));
    sim.run_until(60_000);
    assert_eq!(sim.dispatched[&0].len(), 1);
    assert_eq!(sim.answered_count("a"), 1);
}

#[test]
fn failed_before_first_event_is_retried_elsewhere() {
    // A request whose attempt fails after the time to its first send must still be retried.
    let mut sim = Simulator::new(3, 2);
    let mut waiting = head("a", 50, 6_000);
    waiting.start_within_ms = Some(300);
    sim.submit(1, &waiting);
    sim.run_until(450);
    sim.fail_attempt(1, Verdict::MayHaveRun);
    assert_eq!(sim.dispatched[&1].len(), 2);
}

/// A stream must not be cancelled at its first event when `cancel_late_rest` is off, although its
/// output limit suggests that the rest is too late.
#[test]
fn late_rest_of_started_stream() {
    for cancel_late_rest in [true, false] {
        let settings = FairSettings::new(3).with_cancel_late_rest(cancel_late_rest);
        let settings = settings.with_times(150.0, 0.0, 75.0);
        let mut sim = Simulator::with_settings(settings, 1, 4);
        sim.submit(1, &head("one", 366, 20_000));
        let mut decisions = Vec::new();
        let started = PolicyEvent::Started { ticket: Ticket::new(1) };
        sim.policy.handle(TimeMs::new(14_000), started, &mut decisions);
        let cancelled =
            decisions.iter().any(|decision| matches!(decision, Decision::Cancel { .. }));
        assert_eq!(cancelled, cancel_late_rest, "{decisions:?}");
    }
}

/// With more nodes than retries, equal parts would leave every node without a second attempt, and
/// parts rounded up would let all of them together exceed the budget.
#[test]
fn node_part_sums_to_budget() {
    let all = 1_000.0;
    for nodes in [8_u32, 100, 986, 2_000, 4_000] {
        let fraction = |node: u32| (f64::from(node) + 0.5) / f64::from(nodes);
        let parts: Vec<f64> = (0..nodes)
            .map(|node| SharedRetryBudget::new(all, fraction(node)).node_part(nodes, 1))
            .collect();
        let sum: f64 = parts.iter().sum();
        assert!(sum <= all * 1.01 && sum >= all * 0.98, "{sum} of {nodes} nodes");
        assert!(parts.iter().all(|part| *part == 0.0 || *part >= 1.0));
    }
}

/// Four requests at two targets, of which the first is silent and the second has `free` slots.
fn silent_first_target(settings: FairSettings, head: &RequestHead, free: usize) -> Simulator {
    let mut sim = Simulator::with_settings(settings, 2, 2);
    (0..4).for_each(|ticket| sim.submit(ticket, head));
    sim.run_until(10);
    let at_second: Vec<_> = (0..4).filter(|&ticket| sim.target_of(ticket) == Some(1)).collect();
    at_second[..free].iter().for_each(|&ticket| sim.complete(ticket));
    sim.target_down(0);
    let silent: Vec<_> = (0..4).filter(|&ticket| sim.target_of(ticket) == Some(0)).collect();
    silent.iter().for_each(|&ticket| sim.stall(ticket));
    sim
}

/// If more requests leave a silent target than others can take, the rest is refused while their
/// target might have answered them.
#[test]
fn stalled_attempts_move_one_for_each_free_slot() {
    for free in 0..=2 {
        let sim = silent_first_target(FairSettings::new(3), &head("a", 300, 20_000), free);
        let moved = sim.dispatched.values().filter(|targets| targets.len() == 2).count();
        assert_eq!((moved, sim.refused_count("a")), (free, 0));
    }
}

/// A request that may not be sent again must be left at its silent target.
#[test]
fn stalled_attempts_without_retry_stay() {
    let without_budget = FairSettings::new(3).with_retries(0.0, 0.0, true);
    let last_attempt = RequestHead { attempts_max: Some(1), ..head("a", 300, 20_000) };
    for (settings, head) in [
        (without_budget, head("a", 300, 20_000)),
        (FairSettings::new(3), last_attempt),
        (FairSettings::new(3), RequestHead { deadline_in_ms: 20_000, ..non_idempotent() }),
    ] {
        let sim = silent_first_target(settings, &head, 2);
        assert!(sim.dispatched.values().all(|targets| targets.len() == 1));
        assert_eq!(sim.refused_count("a"), 0);
    }
}
