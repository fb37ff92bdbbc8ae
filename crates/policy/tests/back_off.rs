//! Targets that refuse requests and ask for a pause, at the policy of one node.

mod timed_node;

use celeryhaven_policy::{PolicyEvent, TargetKey, TargetProfile};
use celeryhaven_types::TimeMs;

use timed_node::{Node, class};

const PAUSE_MS: u64 = 3_000;

fn node_with_refusing(targets: u32, refusing: u32, until_ms: u64) -> Node {
    let mut node = Node::new(targets);
    let refusing = (0..refusing).map(TargetKey::new);
    node.refusing = refusing.map(|target| (target, 0..until_ms, PAUSE_MS)).collect();
    node
}

/// Returns the times at which requests were sent to a target.
fn sent_at(node: &Node, target: u32) -> Vec<u64> {
    let target = TargetKey::new(target);
    node.sent.iter().filter(|(_, to)| *to == target).map(|(ms, _)| *ms).collect()
}

/// A target in a pause gets nothing, and one request after each pause for as long as it refuses.
#[test]
fn back_off_one_trial_after_each_pause() {
    let mut node = node_with_refusing(4, 1, 20_000);
    node.run(0, 15_000, 10);
    let sent_at = sent_at(&node, 0);
    assert!(sent_at.windows(2).all(|pair| pair[1] - pair[0] >= PAUSE_MS), "{sent_at:?}");
    assert!(sent_at.len() >= 4, "{sent_at:?}");
    assert!(node.refused.is_empty(), "{:?}", node.refused);
}

/// A pause holds for any number of targets, unlike the ejection of slow ones.
#[test]
fn back_off_most_targets() {
    let mut node = node_with_refusing(5, 4, 20_000);
    node.run(0, 10_000, 40);
    for target in 0..4 {
        let sent_at = sent_at(&node, target);
        assert!(sent_at.windows(2).all(|pair| pair[1] - pair[0] >= PAUSE_MS), "{sent_at:?}");
    }
    assert!(node.refused.len() <= 10, "{} refused", node.refused.len());
}

/// A target that answers its trial gets its part of the requests again.
#[test]
fn back_off_recovers() {
    let mut node = node_with_refusing(4, 1, 1_000);
    node.run(0, 10_000, 10);
    let (sent, mean) = (node.sent_to(0, 5_000), 5_000 / 10 / 4);
    assert!(sent * 2 > mean, "{sent} requests, the mean of all targets is {mean}");
}

/// A longer pause that is named meanwhile replaces a shorter one, and a shorter one does not.
#[test]
fn back_off_longest_pause_holds() {
    let mut node = Node::new(4);
    for until_ms in [2_000, 6_000, 3_000] {
        let (target, until) = (TargetKey::new(0), TimeMs::new(until_ms));
        node.handle(0, PolicyEvent::BackOff { target, until });
    }
    node.run(0, 8_000, 10);
    let first = sent_at(&node, 0)[0];
    assert!((6_000..6_500).contains(&first), "first request at {first} ms");
}

/// While all targets are in a pause, requests must be refused on arrival and told its end, and once
/// it is over they must be served.
#[test]
fn back_off_all_targets() {
    let mut node = node_with_refusing(2, 2, 1_000);
    node.run(0, 2_500, 10);
    let later: Vec<_> = node.refused.iter().filter(|(ms, _)| *ms >= 200).collect();
    assert!(later.len() >= 200, "{} refused", later.len());
    for (ms, refusal) in later {
        let returns_ms = ms + refusal.retry_after_ms.unwrap();
        assert!(returns_ms >= PAUSE_MS, "refused at {ms} ms, told to return at {returns_ms} ms");
    }
    assert!(node.sent.iter().all(|(ms, _)| *ms < 100), "{:?}", node.sent);
    node.run(2_500, 4_500, 10);
    let served = node.sent.iter().filter(|(ms, _)| *ms >= 4_000).count();
    assert!(served >= 290, "{served} sent after the pause");
}

/// A target that comes up again in its pause, such as in a new replica, must not get the queue.
#[test]
fn back_off_target_comes_up() {
    let mut node = Node::new(1);
    let (target, until) = (TargetKey::new(1), TimeMs::new(PAUSE_MS));
    node.handle(0, PolicyEvent::BackOff { target, until });
    let profile = TargetProfile { serves: class(), slots: 6, distance_us: 0, identity: 0 };
    node.handle(0, PolicyEvent::TargetUp { target, profile });
    node.run(0, PAUSE_MS - 1, 5);
    assert_eq!(node.sent_to(1, 0), 0);
    node.run(PAUSE_MS - 1, 2_000, 5);
    assert!(node.sent_to(1, 0) > 50, "{} requests", node.sent_to(1, 0));
}
