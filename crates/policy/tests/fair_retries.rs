//! What becomes of attempts that break.

mod toy;

use celeryhaven_policy::{Decision, FairSettings, PolicyEvent, RequestPolicy, Ticket};
use celeryhaven_types::{Idempotency, RefusalCode, RequestHead, TimeMs, Verdict};
use toy::{End, Toy, head};

fn refused(toy: &Toy, ticket: u64) -> (RefusalCode, Verdict) {
    match &toy.ends[&ticket] {
        End::Refused { refusal, .. } => (refusal.code, refusal.verdict),
        End::Answered { .. } => panic!("ticket {ticket} was answered"),
    }
}

fn non_idempotent() -> RequestHead {
    RequestHead { idempotency: Idempotency::NonIdempotent, ..head("a", 50, 9_000) }
}

#[test]
fn broken_not_run_goes_elsewhere() {
    let mut toy = Toy::new(3, 2);
    toy.ask(1, &non_idempotent());
    toy.broken(1, Verdict::NotRun);
    assert_eq!(toy.dispatched[&1].len(), 2);
    assert_ne!(toy.dispatched[&1][0], toy.dispatched[&1][1]);
    toy.run_until(10_000);
    toy.assert_all_ended();
    assert_eq!(toy.answered("a"), 1);
}

#[test]
fn broken_may_have_run_is_never_repeated_unless_idempotent() {
    // A lot update reached its target and the answer was lost. A second run would show stock that
    // is not there, so the caller hears at once that it may have run.
    let mut toy = Toy::new(3, 2);
    toy.ask(1, &non_idempotent());
    toy.run_until(100);
    toy.broken(1, Verdict::MayHaveRun);
    assert_eq!(refused(&toy, 1), (RefusalCode::AnswerLost, Verdict::MayHaveRun));
    assert_eq!(toy.dispatched[&1].len(), 1);
}

#[test]
fn broken_may_have_run_is_repeated_if_idempotent() {
    let mut toy = Toy::new(3, 2);
    toy.ask(1, &head("a", 50, 9_000));
    toy.broken(1, Verdict::MayHaveRun);
    toy.run_until(10_000);
    assert_eq!(toy.answered("a"), 1);
}

#[test]
fn broken_too_late_to_repeat_is_refused_at_that_moment() {
    let mut toy = Toy::new(3, 2);
    toy.ask(1, &head("a", 50, 1_000));
    toy.run_until(550);
    toy.broken(1, Verdict::MayHaveRun);
    assert_eq!(refused(&toy, 1), (RefusalCode::AnswerLost, Verdict::MayHaveRun));
}

#[test]
fn broken_every_time_stops_within_the_budget() {
    // Every attempt of every request breaks. Without a budget each request would be sent four
    // times; with it all retries together stay near a fifth of the arrivals and what was saved.
    let mut toy = Toy::new(4, 100);
    let mut attempts = 0;
    for ticket in 0..2_000 {
        toy.ask(ticket, &head("a", 50, 9_000));
        while toy.target_of(ticket).is_some() {
            attempts += 1;
            toy.broken(ticket, Verdict::MayHaveRun);
        }
    }
    toy.run_until(20_000);
    toy.assert_all_ended();
    assert!(attempts <= 2_000 + 100 + 400, "{attempts}");
}

#[test]
fn retried_then_given_up_still_says_may_have_run() {
    // The first attempt may have run, the second was not taken by its target. The last refusal
    // must not say "not run".
    let mut toy = Toy::new(2, 1);
    toy.ask(1, &head("a", 50, 1_200));
    toy.run_until(300);
    toy.broken(1, Verdict::MayHaveRun);
    toy.run_until(800);
    toy.broken(1, Verdict::NotRun);
    assert_eq!(refused(&toy, 1).1, Verdict::MayHaveRun);
}

#[test]
fn stuck_start_moves_to_another_target() {
    // A paused VM keeps its connections open and answers nothing. Without a check the caller
    // would wait until the deadline; with it the request is cancelled there and sent elsewhere.
    let mut toy = Toy::new(3, 2);
    (0..3).for_each(|target| toy.slow(target, 1));
    toy.ask(0, &head("a", 50, 9_000));
    toy.run_until(2_000);
    (0..3).for_each(|target| toy.slow(target, 1_000));
    toy.ask(1, &head("a", 50, 9_000));
    (0..3).for_each(|target| toy.slow(target, 1));
    toy.run_until(10_000);
    toy.assert_all_ended();
    assert_eq!(toy.dispatched[&1].len(), 2);
    assert_eq!(toy.answered("a"), 2);
}

#[test]
fn stuck_start_non_idempotent_is_left_alone() {
    let mut toy = Toy::new(3, 2);
    (0..3).for_each(|target| toy.slow(target, 100));
    toy.ask(1, &non_idempotent());
    toy.run_until(8_000);
    assert_eq!(toy.dispatched[&1].len(), 1);
    assert_eq!(toy.target_of(1), Some(toy.dispatched[&1][0]));
}

#[test]
fn late_start_is_cancelled_at_once() {
    // The first token came so late that the rest cannot be in time: the slot goes to another
    // request now, not when the deadline has passed.
    let mut toy = Toy::new(1, 1);
    for ticket in 10..40 {
        toy.ask(ticket, &head("a", 200, 9_000));
        toy.run_until(toy.now_ms + 3_000);
    }
    let asked_ms = toy.now_ms;
    toy.slow(0, 45);
    toy.ask(1, &head("a", 200, 3_500));
    toy.run_until(asked_ms + 2_699);
    assert_eq!(toy.target_of(1), Some(0));
    toy.run_until(asked_ms + 2_701);
    assert_eq!(refused(&toy, 1), (RefusalCode::AnswerLost, Verdict::MayHaveRun));
}

#[test]
fn ejection_moves_streams_off_a_paused_target() {
    // A VM is paused while it streams several answers. Their connections stay open and no event
    // tells of a stream that stalls, so those callers would wait until their deadlines. When
    // requests sent there later show no first token, the target is ejected, and the streams that
    // had begun go elsewhere too.
    let mut toy = Toy::new(4, 8);
    for ticket in 0..4 {
        toy.ask(ticket, &head("a", 400, 60_000));
    }
    let paused = toy.dispatched[&0][0];
    toy.run_until(1_000);
    toy.stall(paused);
    for ticket in 10..40 {
        toy.ask(ticket, &head("a", 50, 60_000));
        toy.run_until(toy.now_ms + 200);
    }
    toy.run_until(59_000);
    toy.assert_all_ended();
    assert_eq!(toy.answered("a"), 34);
    assert!(toy.dispatched[&0].len() >= 2, "{:?}", toy.dispatched[&0]);
}

#[test]
fn silent_target_is_ejected_and_its_streams_move() {
    // Streams take every slot of a target, then its VM is paused. Nothing more is sent there that
    // could show the pause; only its reports stay away. The streams go elsewhere within seconds.
    let mut toy = Toy::new(4, 1);
    for ticket in 0..3 {
        toy.ask(ticket, &head("a", 300, 20_000));
    }
    let paused = toy.dispatched[&0][0];
    for at in 0..40 {
        toy.run_until(at * 500);
        if at == 2 {
            toy.stall(paused);
        }
        (0..4).filter(|&target| target != paused || at < 2).for_each(|it| toy.report(it, 1));
    }
    toy.run_until(30_000);
    toy.assert_all_ended();
    assert_eq!(toy.answered("a"), 3);
    assert_eq!(toy.dispatched[&0].len(), 2);
}

#[test]
fn silent_target_that_never_reported_is_left_alone() {
    // Plain services make no reports: their silence says nothing.
    let mut toy = Toy::new(4, 1);
    toy.ask(0, &head("a", 900, 60_000));
    toy.run_until(60_000);
    assert_eq!(toy.dispatched[&0].len(), 1);
    assert_eq!(toy.answered("a"), 1);
}

#[test]
fn broken_before_first_event_goes_elsewhere() {
    // A replica loses a member and its head goes on taking requests. One of them waits there for
    // its first event until the loss is noticed, longer than a new request may wait to be sent.
    // Its caller waits for seconds more, so it goes elsewhere at once and is not given up.
    let mut toy = Toy::new(3, 2);
    let mut waiting = head("a", 50, 6_000);
    waiting.start_within_ms = Some(300);
    toy.ask(1, &waiting);
    toy.run_until(450);
    toy.broken(1, Verdict::MayHaveRun);
    assert_eq!(toy.dispatched[&1].len(), 2);
}

/// A caller allows an answer of 366 events and has 7.8 s left when the first one comes, 0.2 s after it
/// asked. By the caller's limit the rest would take longer than that, so the stream was broken off with
/// its first event, beside a change of the configuration and for nothing: most answers are a tenth as
/// long. Where callers see the answer as it comes, it goes on.
#[test]
fn late_rest_of_a_stream_that_has_begun() {
    for cancels in [true, false] {
        let settings = FairSettings::new(3).with_cancel_late_rest(cancels);
        let settings = settings.with_times(150.0, 0.0, 75.0);
        let mut toy = Toy::with_settings(settings, 1, 4);
        toy.ask(1, &head("one", 366, 20_000));
        let mut decisions = Vec::new();
        let started = PolicyEvent::Started { ticket: Ticket::new(1) };
        toy.policy.handle(TimeMs::new(14_000), started, &mut decisions);
        let cancelled =
            decisions.iter().any(|decision| matches!(decision, Decision::Cancel { .. }));
        assert_eq!(cancelled, cancels, "{decisions:?}");
    }
}
