//! Second attempts that run beside one whose target is silent.

use celeryhaven_policy::{
    Decision, FairPolicy, FairSettings, PolicyEvent, RequestPolicy, RetryDenial, TargetKey,
    TargetProfile, Ticket,
};
use celeryhaven_types::{
    Idempotency, ModelName, OrganisationName, Priority, RequestClass, RequestHead, RequestId,
    TimeMs, Verdict,
};

const FIRST: Ticket = Ticket::new(1);
const SECOND: Ticket = Ticket::new(2);
const ATTEMPTS_MAX: u32 = 2;

/// A policy with two targets and a request that runs at one of them.
struct Node {
    policy: FairPolicy,
    now: TimeMs,
    /// The target of the request, and the other one.
    silent: TargetKey,
    other: TargetKey,
}

fn class() -> RequestClass {
    RequestClass::Completion { model: ModelName::new("draft"), adapter: None }
}

fn head() -> RequestHead {
    RequestHead {
        id: RequestId::new("request"),
        organisation: OrganisationName::new("a"),
        class: class(),
        priority: Priority::new(0),
        worth: 1,
        idempotency: Idempotency::Idempotent,
        deadline_in_ms: 8_000,
        start_within_ms: Some(400),
        attempts_max: Some(ATTEMPTS_MAX),
        prompt_tokens: 10,
        output_tokens_max: 30,
        prefix_hashes: Vec::new(),
        choice_key: None,
    }
}

impl Node {
    fn new(settings: FairSettings, head: &RequestHead) -> Self {
        let targets = [TargetKey::new(0), TargetKey::new(1)];
        let policy = FairPolicy::new(settings.with_cancel_slow(false).with_cancel_late_rest(false));
        let mut node = Self { policy, now: TimeMs::new(0), silent: targets[0], other: targets[1] };
        for target in targets {
            let profile =
                TargetProfile { serves: class(), slots: 2, distance_us: 500, identity: 0 };
            node.handle(PolicyEvent::TargetUp { target, profile });
        }
        let decisions = node.handle(PolicyEvent::Arrived { ticket: FIRST, head });
        let [Decision::Dispatch { target, .. }] = decisions[..] else { panic!("{decisions:?}") };
        node.silent = target;
        node.other = if target == targets[0] { targets[1] } else { targets[0] };
        node
    }

    fn handle(&mut self, event: PolicyEvent<'_>) -> Vec<Decision> {
        let mut out = Vec::new();
        self.policy.handle(self.now, event, &mut out);
        out
    }

    fn start_second(&mut self, excluded: &[TargetKey]) -> Vec<Decision> {
        self.now = self.now.after(600);
        self.handle(PolicyEvent::SecondAttempt { ticket: FIRST, second: SECOND, excluded })
    }

    fn fail(&mut self, ticket: Ticket, verdict: Verdict) -> Vec<Decision> {
        self.handle(PolicyEvent::AttemptFailed { ticket, verdict })
    }
}

fn started_node() -> Node {
    let mut node = Node::new(FairSettings::new(3), &head());
    node.handle(PolicyEvent::Started { ticket: FIRST });
    let other = node.other;
    assert_eq!(node.start_second(&[]), [Decision::Dispatch { ticket: SECOND, target: other }]);
    node
}

/// A silent target may go on, so the attempt there must not be cancelled.
#[test]
fn second_attempt_leaves_the_first() {
    let mut node = started_node();
    assert_eq!(node.handle(PolicyEvent::Tick), []);
    assert_eq!(node.handle(PolicyEvent::Finished { ticket: FIRST, output_tokens: 30 }), []);
    assert_eq!(node.handle(PolicyEvent::CallerDisconnected { ticket: SECOND }), []);
}

/// Whichever attempt fails first, the request goes on as the other.
#[test]
fn second_attempt_one_fails() {
    for (failed, other) in [(FIRST, SECOND), (SECOND, FIRST)] {
        let mut node = started_node();
        assert_eq!(node.fail(failed, Verdict::MayHaveRun), []);
        let decisions = node.fail(other, Verdict::MayHaveRun);
        let denial = RetryDenial::NoAttemptLeft;
        assert_eq!(decisions[0], Decision::DenyRetry { ticket: other, denial });
        assert!(matches!(decisions[1], Decision::Refuse { ticket, .. } if ticket == other));
    }
}

/// A refusal must not use up the attempt that a begun answer needs when its own target fails.
#[test]
fn second_attempt_refused_before_the_first_fails() {
    let mut node = started_node();
    assert_eq!(node.fail(SECOND, Verdict::NotRun), []);
    let target = node.other;
    let decisions = node.fail(FIRST, Verdict::MayHaveRun);
    assert_eq!(decisions, [Decision::Dispatch { ticket: FIRST, target }]);
}

/// An answer that has begun must not be given up because its length is estimated to take too long.
#[test]
fn second_attempt_late_in_a_long_answer() {
    let settings = || FairSettings::new(3).with_times(60.0, 0.0, 100.0);
    let long = RequestHead { output_tokens_max: 60, ..head() };
    for has_begun in [false, true] {
        let mut node = Node::new(settings(), &long);
        if has_begun {
            node.handle(PolicyEvent::Started { ticket: FIRST });
        }
        node.now = node.now.after(6_000);
        let decisions = node.start_second(&[]);
        let denial = RetryDenial::TooLate;
        let (ticket, target) = (SECOND, node.other);
        let expected = match has_begun {
            true => Decision::Dispatch { ticket, target },
            false => Decision::DenyRetry { ticket: FIRST, denial },
        };
        assert_eq!(decisions, [expected]);
        if has_begun {
            assert_eq!(node.fail(SECOND, Verdict::NotRun), []);
            let retried = Decision::Dispatch { ticket: FIRST, target };
            assert_eq!(node.fail(FIRST, Verdict::MayHaveRun), [retried]);
        }
    }
}

/// A target that is as silent is not worth a retry.
#[test]
fn second_attempt_not_at_silent_targets() {
    let mut node = Node::new(FairSettings::new(3).with_retries(0.0, 1.0, true), &head());
    let denial = RetryDenial::NoFreeTarget;
    let other = node.other;
    assert_eq!(node.start_second(&[other]), [Decision::DenyRetry { ticket: FIRST, denial }]);
    assert_eq!(node.start_second(&[]), [Decision::Dispatch { ticket: SECOND, target: other }]);
}

#[test]
fn second_attempt_denied() {
    let without_budget = FairSettings::new(3).with_retries(0.0, 0.0, true);
    let last_attempt = RequestHead { attempts_max: Some(1), ..head() };
    let unsafe_head = RequestHead { idempotency: Idempotency::NonIdempotent, ..head() };
    for (settings, head, denial) in [
        (without_budget, head(), RetryDenial::NoRetryLeft),
        (FairSettings::new(3), last_attempt, RetryDenial::NoAttemptLeft),
        (FairSettings::new(3), unsafe_head, RetryDenial::MayHaveRun),
    ] {
        let mut node = Node::new(settings, &head);
        assert_eq!(node.start_second(&[]), [Decision::DenyRetry { ticket: FIRST, denial }]);
    }
}

/// New requests and second attempts must not go to a target whose streams have paused.
#[test]
fn quiet_target_receives_nothing() {
    let mut node = Node::new(FairSettings::new(7), &head());
    let other = node.other;
    node.handle(PolicyEvent::Quiet { target: other, is_quiet: true });
    let second = PolicyEvent::SecondAttempt { ticket: FIRST, second: SECOND, excluded: &[] };
    let decisions = node.handle(second.clone());
    assert!(matches!(decisions[..], [Decision::DenyRetry { .. }]), "{decisions:?}");
    node.handle(PolicyEvent::Quiet { target: other, is_quiet: false });
    let decisions = node.handle(second);
    assert!(matches!(decisions[..], [Decision::Dispatch { .. }]), "{decisions:?}");
}

/// When most targets pause at once, such as when this node has paused, requests must not be refused.
#[test]
fn quiet_targets_most_stay_in_use() {
    let mut node = Node::new(FairSettings::new(7), &head());
    for target in [node.other, node.silent] {
        node.handle(PolicyEvent::Quiet { target, is_quiet: true });
    }
    let third = Ticket::new(3);
    let decisions = node.handle(PolicyEvent::Arrived { ticket: third, head: &head() });
    let sent = Decision::Dispatch { ticket: third, target: node.silent };
    assert_eq!(decisions, [sent]);
}
