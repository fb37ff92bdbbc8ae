//! Which source is followed, and which polls are made, as sources answer or do not.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeSet;

use celeryhaven_sources::budget::OVERDUE_MS;
use celeryhaven_sources::{Action, Candidates, Poll, PollPurpose, Reply, Source, SourceFollower};
use celeryhaven_types::{NodeName, TimeMs};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START: TimeMs = TimeMs::new(10_000);

fn node(number: usize) -> NodeName {
    NodeName::new(format!("entry-{number}"))
}

/// Returns the candidates of a follower with two relays and some other nodes.
fn candidates(others: usize) -> Candidates {
    Candidates {
        preferred: (0..2).map(|number| Source::Node(node(number))).collect(),
        others: (2..2 + others).map(node).collect(),
        may_use_store: true,
    }
}

fn polls(actions: &[Action]) -> Vec<Poll> {
    let polls = actions.iter().filter_map(|action| match action {
        Action::Poll(poll) => Some(poll.clone()),
        _ => None,
    });
    polls.collect()
}

fn reply(confirmed_at: TimeMs) -> Reply {
    Reply { confirmed_at, has_changes: false, pause_ms: 0 }
}

/// Returns a node that follows its first relay, confirmed at the start, and its open poll.
fn follower(candidates: &Candidates) -> (SourceFollower<SmallRng>, Poll) {
    let mut follower = SourceFollower::new(SmallRng::seed_from_u64(1));
    let first = polls(&follower.step(START, candidates))[0].clone();
    follower.replied(START, first.id, reply(START), candidates);
    let open = polls(&follower.step(START, candidates))[0].clone();
    assert_eq!((&open.source, open.purpose), (&candidates.preferred[0], PollPurpose::Follow));
    (follower, open)
}

/// Two nodes that have both lost the store would confirm to each other that nothing has changed.
#[test]
fn replied_search_without_later_contact() {
    let candidates = candidates(3);
    let (mut follower, _) = follower(&candidates);
    let now = START.after(OVERDUE_MS);
    let searched = polls(&follower.step(now, &candidates));
    let followed = |actions: Vec<Action>| {
        actions.into_iter().any(|action| matches!(action, Action::Follow(_)))
    };
    assert!(!followed(follower.replied(now, searched[0].id, reply(START), &candidates)));
    let later = reply(START.after(1));
    assert!(followed(follower.replied(now, searched[1].id, later, &candidates)));
}

/// If all sources are slow, giving the open poll up would leave the node without any answer.
#[test]
fn step_overdue_poll_stays_open() {
    let candidates = candidates(3);
    let (mut follower, open) = follower(&candidates);
    let now = START.after(OVERDUE_MS);
    let actions = follower.step(now, &candidates);
    assert!(!actions.contains(&Action::Cancel(open.id)));
    let searched = polls(&actions);
    let answered = follower.replied(now.after(50), open.id, reply(START.after(500)), &candidates);
    assert!(searched.iter().all(|poll| answered.contains(&Action::Cancel(poll.id))));
}

/// A node that only one of the others can tell of a change must come to ask it.
#[test]
fn step_asks_all_others() {
    let candidates = candidates(10);
    let (mut follower, open) = follower(&candidates);
    let mut now = START.after(OVERDUE_MS);
    follower.failed(now, open.id, &candidates);
    let mut asked = BTreeSet::new();
    for _ in 0..20 {
        for poll in polls(&follower.step(now, &candidates)) {
            asked.insert(poll.source.clone());
            follower.failed(now, poll.id, &candidates);
        }
        now = follower.next_step_at(&candidates).max(now.after(1));
    }
    let all = candidates.others.iter().cloned().map(Source::Node);
    assert!(
        all.chain(candidates.preferred.clone()).chain([Source::Store]).all(|s| asked.contains(&s))
    );
}

/// Followers must not wait at a node that has lost its sources.
#[test]
fn step_tells_that_sources_are_lost() {
    let candidates = candidates(1);
    let (mut follower, open) = follower(&candidates);
    let now = START.after(OVERDUE_MS);
    assert!(!follower.step(now, &candidates).contains(&Action::SetLost(true)));
    let next = now.after(100);
    assert!(follower.step(next, &candidates).contains(&Action::SetLost(true)));
    let found = follower.replied(next, open.id, reply(START.after(1)), &candidates);
    assert!(found.contains(&Action::SetLost(false)));
}

/// A node that stayed on its second choice would keep calling the store in place of its relays.
#[test]
fn step_returns_to_preferred() {
    let candidates = candidates(0);
    let (mut follower, open) = follower(&candidates);
    follower.failed(START, open.id, &candidates);
    let mut now = START;
    while !follower.step(now, &candidates).iter().any(|action| match action {
        Action::Poll(poll) if poll.source == Source::Store => {
            follower.replied(now, poll.id, reply(now), &candidates);
            true
        }
        _ => false,
    }) {
        now = now.after(10);
    }
    assert!(!follower.follows_preferred(&candidates));
    let now = now.after(3_000);
    let returned = polls(&follower.step(now, &candidates));
    let first = returned.iter().find(|poll| poll.purpose == PollPurpose::Return).unwrap();
    follower.replied(now, first.id, reply(now), &candidates);
    assert!(follower.follows_preferred(&candidates));
}
