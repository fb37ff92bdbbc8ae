//! Targets that name how many requests a second they take, at the policy of one node.

mod timed_node;

use celeryhaven_policy::{PolicyEvent, TargetKey, TargetProfile, Ticket};
use celeryhaven_types::Verdict;

use timed_node::{Node, class, head};

/// A limited target gets its rate, and no request waits for it while another target is free.
#[test]
fn limited_target_keeps_rate() {
    let mut node = Node::new(4);
    node.limit(0, 0, Some(2.0));
    node.run(0, 10_000, 10);
    let sent = node.sent_to(0, 0);
    assert!((18..=21).contains(&sent), "{sent} requests in ten seconds");
    assert_eq!((node.sent.len(), node.refused.len()), (1_000, 0));
    let mut arrivals = (0..10_000).step_by(10);
    assert!(node.sent.iter().all(|(ms, _)| arrivals.next() == Some(*ms)), "a request waited");
}

/// A target that this node has no part of gets nothing, and the others everything.
#[test]
fn limited_target_without_part() {
    let mut node = Node::new(4);
    node.limit(0, 0, Some(0.0));
    node.run(0, 5_000, 10);
    assert_eq!(node.sent_to(0, 0), 0);
    assert_eq!((node.sent.len(), node.refused.len()), (500, 0));
}

/// Where all targets are limited, requests beyond the rates are refused on arrival or in time, not
/// held until their deadline.
#[test]
fn limited_targets_all() {
    let mut node = Node::new(2);
    node.limit(0, 0, Some(5.0));
    node.limit(0, 1, Some(5.0));
    node.run(0, 20_000, 10);
    let sent = node.sent.len();
    assert!((180..=205).contains(&sent), "{sent} requests in twenty seconds");
    assert!(node.policy.queued() <= 20, "{} requests wait", node.policy.queued());
    assert!(node.refused.len() + sent + node.policy.queued() >= 2_000);
}

/// After the end of a limit the rate grows over some seconds, since all nodes return at that time.
#[test]
fn limited_target_recovers() {
    let mut node = Node::new(4);
    node.limit(0, 0, Some(1.0));
    node.run(0, 4_000, 5);
    node.limit(4_000, 0, None);
    node.run(4_000, 10_000, 5);
    let first = node.sent_to(0, 4_000) - node.sent_to(0, 5_000);
    assert!(first <= 4, "{first} requests in the first second");
    let later = node.sent_to(0, 10_000);
    assert!(later > 100, "{later} requests in the last four seconds");
}

/// A node of a large fleet that had no part of the rate must return to the target within seconds.
#[test]
fn limited_target_recovers_in_large_fleet() {
    let mut node = Node::new(4);
    node.handle(0, PolicyEvent::Senders { nodes: 6 });
    node.limit(0, 0, Some(0.0));
    node.run(0, 2_000, 5);
    node.handle(2_000, PolicyEvent::Senders { nodes: 340 });
    node.limit(2_000, 0, None);
    node.handle(2_000, PolicyEvent::Senders { nodes: 6 });
    node.run(2_000, 8_000, 5);
    let (sent, other) = (node.sent_to(0, 8_000), node.sent_to(1, 8_000));
    assert!(sent * 2 > other, "{sent} requests, {other} to another target");
}

/// A limited target that comes up while requests wait must not get them all at once, such as a
/// replica that is formed again around the same head.
#[test]
fn limited_target_comes_up() {
    let mut node = Node::new(1);
    node.run(0, 100, 1);
    assert!(node.policy.queued() > 6);
    let target = TargetKey::new(1);
    node.handle(100, PolicyEvent::Limited { target, rate_per_s: Some(2.0) });
    let profile = TargetProfile { serves: class(), slots: 6, distance_us: 0, identity: 0 };
    node.handle(100, PolicyEvent::TargetUp { target, profile });
    node.run(100, 1_500, 1);
    let sent = node.sent_to(1, 0);
    assert!((1..=3).contains(&sent), "{sent} requests in one and a half seconds");
}

/// A rate that changes with each answer neither grants a new request each time nor stops them.
#[test]
fn limited_target_changing_rate() {
    let mut node = Node::new(4);
    for step in 0..100 {
        node.limit(step * 100, 0, Some(if step % 2 == 0 { 1.0 } else { 3.0 }));
        node.run(step * 100, 100, 10);
    }
    let sent = node.sent_to(0, 0);
    assert!((15..=23).contains(&sent), "{sent} requests in ten seconds at two a second");
}

/// A target whose last answers took a little longer must get its part after the end of its limit,
/// not only the requests for which no other target was looked at.
#[test]
fn limited_target_slower_by_noise_recovers() {
    let mut node = Node::new(6);
    node.prompt_tokens = 100;
    node.slower = Some(TargetKey::new(0));
    node.limit(0, 0, Some(1.0));
    node.run(0, 4_000, 5);
    node.limit(4_000, 0, None);
    node.run(4_000, 10_000, 5);
    let (sent, mean) = (node.sent_to(0, 10_000), 4_000 / 5 / 6);
    assert!(sent * 2 > mean, "{sent} requests, the mean of all targets is {mean}");
}

/// A second attempt at the plain target that has just failed the first one would most likely fail
/// again.
#[test]
fn failed_plain_is_never_retried_at_same_target() {
    let mut node = Node::new(3);
    for number in 0..60_u64 {
        let (ms, ticket) = (number * 100, Ticket::new(number));
        node.handle(ms, PolicyEvent::Arrived { ticket, head: &head(ticket) });
        let verdict = Verdict::NotRun;
        node.handle(ms + 1, PolicyEvent::AttemptFailed { ticket, verdict });
        let sent: Vec<TargetKey> =
            node.sent.iter().filter(|(at, _)| *at >= ms).map(|(_, target)| *target).collect();
        assert!(sent.len() < 2 || sent[0] != sent[1], "request {number}: {sent:?}");
        node.handle(ms + 50, PolicyEvent::Finished { ticket, output_tokens: 1 });
    }
}
