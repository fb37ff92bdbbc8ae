use std::collections::BTreeMap;

use celeryhaven_types::TimeMs;
use rand::Rng;

use crate::budget::{FOLLOW_WAIT_MS, OVERDUE_SLACK_MS, ROUND_MS, ROUND_MS_MAX, SHORT_ROUNDS};
use crate::{Action, Candidates, Poll, PollId, PollPurpose, Reply, Source};

/// Time after which a poll has failed, beyond its wait, in milliseconds.
///
/// It is longer than the time after which the poll is overdue: the source may be slow, and so may all
/// others.
const REPLY_TIMEOUT_MS: u64 = 600;

/// Wait of a poll that is to be answered at once, and the time after which it has failed, in
/// milliseconds.
const IMMEDIATE_WAIT_MS: u64 = 1;
const IMMEDIATE_TIMEOUT_MS: u64 = 300;

/// Rounds after which the next one follows at once if all polls have ended, and its delay in
/// milliseconds.
const HASTENED_ROUNDS: u32 = 2;
const HASTENED_ROUND_MS: u64 = 10;

/// Other nodes that are polled in one round.
const OTHERS_PER_ROUND: usize = 3;

/// Pause before a node that has failed is followed again, in milliseconds.
const NODE_RETRY_MS: u64 = 200;

/// Initial pause after a failed store call, in milliseconds; it doubles with each consecutive failure.
///
/// Rejected calls count against the rate limit that all nodes share. The limit is lower for nodes
/// that no relay tells when the store is available again.
const STORE_RETRY_MS: u64 = 200;
const STORE_RETRY_MS_MAX: u64 = 3_000;
const ROOT_STORE_RETRY_MS_MAX: u64 = 400;

/// Time for which a node follows a source of second choice before it polls the preferred ones again,
/// in milliseconds.
const RETURN_MS: u64 = 3_000;
const ROOT_RETURN_MS: u64 = 400;

/// Age of what a preferred relay knows up to which it is followed again, in milliseconds.
const RETURN_AGE_MS_MAX: u64 = 1_000;

/// Which source a node follows, and which polls are due.
///
/// ```
/// use celeryhaven_sources::{Action, Candidates, Source, SourceFollower};
/// use celeryhaven_types::TimeMs;
/// use rand::SeedableRng;
/// use rand::rngs::SmallRng;
///
/// let mut follower = SourceFollower::new(SmallRng::seed_from_u64(1));
/// let candidates = Candidates { preferred: vec![Source::Store], ..Candidates::default() };
/// let actions = follower.step(TimeMs::new(0), &candidates);
/// assert_eq!(actions[0], Action::Follow(Source::Store));
/// assert!(matches!(&actions[1], Action::Poll(poll) if poll.source == Source::Store));
/// ```
#[derive(Clone, Debug)]
pub struct SourceFollower<R> {
    followed: Option<Source>,
    polls: BTreeMap<PollId, Poll>,
    next_id: u64,
    /// Time up to which this node is known to have everything.
    confirmed_at: Option<TimeMs>,
    /// Earliest time of the next poll of the followed source.
    follow_at: TimeMs,
    is_searching: bool,
    rounds: u32,
    /// Earliest time of the next round.
    round_at: TimeMs,
    /// Whether the followers of this node have been told that it has lost its sources.
    is_lost: bool,
    /// Earliest time at which preferred sources are polled again.
    return_at: TimeMs,
    store_failures: u32,
    store_retry_at: TimeMs,
    idle_wait_ms: u64,
    rng: R,
}

impl<R: Rng> SourceFollower<R> {
    /// Creates the state of a node that follows no source yet.
    pub fn new(rng: R) -> Self {
        let start = TimeMs::new(0);
        Self {
            followed: None,
            polls: BTreeMap::new(),
            next_id: 0,
            confirmed_at: None,
            follow_at: start,
            is_searching: false,
            rounds: 0,
            round_at: start,
            is_lost: false,
            return_at: start,
            store_failures: 0,
            store_retry_at: start,
            idle_wait_ms: FOLLOW_WAIT_MS,
            rng,
        }
    }

    /// Sets the wait of a poll of the store by a node that has no other node to ask.
    pub fn with_idle_wait_ms(self, idle_wait_ms: u64) -> Self {
        Self { idle_wait_ms, ..self }
    }

    /// Returns the time up to which this node is known to have everything.
    pub fn confirmed_at(&self) -> Option<TimeMs> {
        self.confirmed_at
    }

    /// Whether the followed source is one of the preferred ones.
    pub fn follows_preferred(&self, candidates: &Candidates) -> bool {
        self.followed.as_ref().is_some_and(|source| candidates.preferred.contains(source))
    }

    /// Returns what is due at a time.
    pub fn step(&mut self, now: TimeMs, candidates: &Candidates) -> Vec<Action> {
        let mut actions = Vec::new();
        self.choose_first(now, candidates, &mut actions);
        self.poll_preferred(now, candidates, &mut actions);
        self.poll_followed(now, candidates, &mut actions);
        if self.open_poll(PollPurpose::Follow).is_some_and(|poll| now >= overdue_at(poll)) {
            self.begin_search();
        }
        self.poll_others(now, candidates, &mut actions);
        actions
    }

    /// Returns the time of the next step, if no poll ends before.
    pub fn next_step_at(&self, candidates: &Candidates) -> TimeMs {
        let follow = match self.open_poll(PollPurpose::Follow) {
            Some(poll) if self.is_searching => poll.sent_at.after(poll.timeout_ms),
            Some(poll) => overdue_at(poll),
            None if self.followed == Some(Source::Store) => self.follow_at.max(self.store_retry_at),
            None => self.follow_at,
        };
        let round = self.is_searching.then_some(self.round_at);
        let returns = !self.follows_preferred(candidates) && self.followed.is_some();
        [Some(follow), round, returns.then_some(self.return_at)]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(follow)
    }

    /// Records the reply to a poll; returns what follows from it.
    pub fn replied(
        &mut self,
        now: TimeMs,
        id: PollId,
        reply: Reply,
        candidates: &Candidates,
    ) -> Vec<Action> {
        let Some(poll) = self.polls.remove(&id) else { return Vec::new() };
        if poll.source == Source::Store {
            (self.store_failures, self.store_retry_at) = (0, now);
        }
        let is_newer = self.confirmed_at.is_none_or(|at| reply.confirmed_at > at);
        let is_accepted = match poll.purpose {
            PollPurpose::Follow => true,
            // A node that has lost the store as well knows no more than this one.
            PollPurpose::Search => poll.source == Source::Store || reply.has_changes || is_newer,
            PollPurpose::Return => {
                poll.source == Source::Store || now.since(reply.confirmed_at) <= RETURN_AGE_MS_MAX
            }
        };
        let mut actions = Vec::new();
        if !is_accepted {
            self.hasten_round(now);
            return actions;
        }
        if is_newer {
            self.confirmed_at = Some(reply.confirmed_at);
        }
        self.end_search(&mut actions);
        self.follow_at = now.after(reply.pause_ms);
        if poll.purpose != PollPurpose::Follow {
            self.follow(now, poll.source, candidates, &mut actions);
        }
        actions
    }

    /// Records that a poll was rejected, not answered, or answered by a node that has lost its
    /// sources.
    pub fn failed(&mut self, now: TimeMs, id: PollId, candidates: &Candidates) {
        let Some(poll) = self.polls.remove(&id) else { return };
        if poll.source == Source::Store {
            self.store_failures = self.store_failures.saturating_add(1);
            self.store_retry_at = now.after(self.store_retry_ms(candidates));
        }
        if poll.purpose == PollPurpose::Follow {
            self.follow_at = match poll.source {
                Source::Store => self.store_retry_at,
                Source::Node(_) => now.after(NODE_RETRY_MS),
            };
            self.begin_search();
        }
        self.hasten_round(now);
    }

    /// Lets the next round begin once all polls of one of the first rounds have ended in vain.
    fn hasten_round(&mut self, now: TimeMs) {
        let is_first = (1..=HASTENED_ROUNDS).contains(&self.rounds);
        if is_first && self.open_poll(PollPurpose::Search).is_none() {
            self.round_at = self.round_at.min(now.after(HASTENED_ROUND_MS));
        }
    }

    /// Follows the first choice if no source is followed, or the followed one is gone.
    fn choose_first(&mut self, now: TimeMs, candidates: &Candidates, actions: &mut Vec<Action>) {
        if self.followed.as_ref().is_some_and(|source| candidates.contains(source)) {
            return;
        }
        if let Some(first) = candidates.preferred.first() {
            self.follow_at = now;
            self.follow(now, first.clone(), candidates, actions);
        }
    }

    /// Polls preferred sources while another one is followed.
    fn poll_preferred(&mut self, now: TimeMs, candidates: &Candidates, actions: &mut Vec<Action>) {
        let is_due = self.followed.is_some() && now >= self.return_at;
        if !is_due || self.follows_preferred(candidates) {
            return;
        }
        self.return_at = now.after(return_ms(candidates));
        for source in &candidates.preferred {
            self.poll_now(now, source, PollPurpose::Return, candidates, actions);
        }
    }

    fn poll_followed(&mut self, now: TimeMs, candidates: &Candidates, actions: &mut Vec<Action>) {
        let Some(source) = self.followed.clone() else { return };
        let is_open = self.open_poll(PollPurpose::Follow).is_some();
        if is_open || now < self.follow_at || !self.may_poll(now, &source, candidates) {
            return;
        }
        let wait_ms = match (self.is_searching, candidates.has_store_only()) {
            // After a failure, any answer tells that the source is back.
            (true, _) => IMMEDIATE_WAIT_MS,
            (false, true) => self.idle_wait_ms,
            (false, false) => FOLLOW_WAIT_MS,
        };
        self.open(now, source, PollPurpose::Follow, (wait_ms, REPLY_TIMEOUT_MS), actions);
    }

    /// Polls all other sources, some of the other nodes in each round.
    fn poll_others(&mut self, now: TimeMs, candidates: &Candidates, actions: &mut Vec<Action>) {
        if !self.is_searching || now < self.round_at {
            return;
        }
        if self.rounds > 0 && !self.is_lost {
            self.is_lost = true;
            actions.push(Action::SetLost(true));
        }
        let count = candidates.others.len();
        let first = self.rounds as usize * OTHERS_PER_ROUND;
        let others = (first..first + OTHERS_PER_ROUND.min(count))
            .map(|index| Source::Node(candidates.others[index % count].clone()));
        let store = (self.rounds > 0).then_some(Source::Store);
        let sources = candidates.preferred.iter().cloned().chain(others).chain(store);
        for source in sources {
            // A poll of the followed source is open, or its failure is what began the search.
            if self.followed.as_ref() != Some(&source) {
                self.poll_now(now, &source, PollPurpose::Search, candidates, actions);
            }
        }
        let doublings = self.rounds.saturating_sub(SHORT_ROUNDS).min(8);
        self.round_at = now.after((ROUND_MS << doublings).min(ROUND_MS_MAX));
        self.rounds = self.rounds.saturating_add(1);
    }

    /// Polls a source that is to answer at once, unless such a poll is open or it must not be polled.
    fn poll_now(
        &mut self,
        now: TimeMs,
        source: &Source,
        purpose: PollPurpose,
        candidates: &Candidates,
        actions: &mut Vec<Action>,
    ) {
        let is_open = self
            .polls
            .values()
            .any(|poll| poll.source == *source && poll.purpose != PollPurpose::Follow);
        if !is_open && self.may_poll(now, source, candidates) {
            let times = (IMMEDIATE_WAIT_MS, IMMEDIATE_TIMEOUT_MS);
            self.open(now, source.clone(), purpose, times, actions);
        }
    }

    fn may_poll(&self, now: TimeMs, source: &Source, candidates: &Candidates) -> bool {
        match source {
            Source::Store => now >= self.store_retry_at && candidates.contains(source),
            Source::Node(_) => true,
        }
    }

    fn open(
        &mut self,
        now: TimeMs,
        source: Source,
        purpose: PollPurpose,
        (wait_ms, reply_ms): (u64, u64),
        actions: &mut Vec<Action>,
    ) {
        let id = PollId(self.next_id);
        self.next_id += 1;
        let timeout_ms = wait_ms + reply_ms;
        let poll = Poll { id, source, purpose, sent_at: now, wait_ms, timeout_ms };
        self.polls.insert(id, poll.clone());
        actions.push(Action::Poll(poll));
    }

    fn follow(
        &mut self,
        now: TimeMs,
        source: Source,
        candidates: &Candidates,
        actions: &mut Vec<Action>,
    ) {
        self.cancel(|poll| poll.purpose == PollPurpose::Follow, actions);
        self.followed = Some(source.clone());
        self.return_at = now.after(return_ms(candidates));
        actions.push(Action::Follow(source));
    }

    fn begin_search(&mut self) {
        self.is_searching = true;
    }

    fn end_search(&mut self, actions: &mut Vec<Action>) {
        self.cancel(|poll| poll.purpose != PollPurpose::Follow, actions);
        (self.is_searching, self.rounds) = (false, 0);
        if std::mem::replace(&mut self.is_lost, false) {
            actions.push(Action::SetLost(false));
        }
    }

    fn cancel(&mut self, which: impl Fn(&Poll) -> bool, actions: &mut Vec<Action>) {
        let ids: Vec<PollId> =
            self.polls.values().filter(|poll| which(poll)).map(|poll| poll.id).collect();
        for id in ids {
            self.polls.remove(&id);
            actions.push(Action::Cancel(id));
        }
    }

    fn open_poll(&self, purpose: PollPurpose) -> Option<&Poll> {
        self.polls.values().find(|poll| poll.purpose == purpose)
    }

    /// Returns the pause until the next store call, randomised to avoid synchronised bursts.
    fn store_retry_ms(&mut self, candidates: &Candidates) -> u64 {
        let max_ms = match candidates.prefers_store() {
            true => ROOT_STORE_RETRY_MS_MAX,
            false => STORE_RETRY_MS_MAX,
        };
        let doublings = self.store_failures.saturating_sub(1).min(8);
        let retry_ms = (STORE_RETRY_MS << doublings).min(max_ms);
        retry_ms * self.rng.random_range(75..125) / 100
    }
}

fn overdue_at(poll: &Poll) -> TimeMs {
    poll.sent_at.after(poll.wait_ms + OVERDUE_SLACK_MS)
}

fn return_ms(candidates: &Candidates) -> u64 {
    if candidates.prefers_store() { ROOT_RETURN_MS } else { RETURN_MS }
}
