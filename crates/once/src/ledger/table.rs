use std::collections::{BTreeMap, BTreeSet, VecDeque};

use celeryhaven_types::{TimeMs, Verdict};

use crate::ledger::state::KeyState;
use crate::ledger::{DroppedAnswer, EnterOutcome, LedgerLimits, Released};

/// Extension of the expiry of a key that is still running, in milliseconds.
const RUNNING_EXTENSION_MS: u64 = 1_000;

/// Execution state of every key owned by this process.
///
/// Entries are kept until their expiry time, and a full ledger rejects new keys instead of evicting
/// old ones: an evicted key that is presented again would run twice.
///
/// ```
/// use celeryhaven_once::{EnterOutcome, Ledger, LedgerLimits};
/// use celeryhaven_types::TimeMs;
///
/// let mut ledger = Ledger::new(LedgerLimits::default());
/// let (now, until) = (TimeMs::new(0), TimeMs::new(60_000));
/// assert_eq!(ledger.enter("key", 1_u64, 0, until), EnterOutcome::Run);
/// assert_eq!(ledger.enter("key", 2, 0, until), EnterOutcome::Wait);
/// assert_eq!(ledger.record_answer(now, 1), vec![2]);
/// assert_eq!(ledger.enter("key", 3, 0, until), EnterOutcome::Replay { of: 1 });
/// ```
#[derive(Clone, Debug)]
pub struct Ledger<K, T> {
    limits: LedgerLimits,
    entries: BTreeMap<K, Entry<T>>,
    by_ticket: BTreeMap<T, K>,
    expiries: BTreeSet<(TimeMs, K)>,
    answers: VecDeque<(TimeMs, K, T)>,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    state: KeyState<T>,
    fingerprint: u64,
    waiting: Vec<T>,
    until: TimeMs,
}

impl<K: Ord + Clone, T: Ord + Copy> Ledger<K, T> {
    /// Creates an empty ledger.
    pub const fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            by_ticket: BTreeMap::new(),
            expiries: BTreeSet::new(),
            answers: VecDeque::new(),
        }
    }

    /// Enters a request with a key, which is recorded until `until` at least.
    ///
    /// `fingerprint` identifies the content of a request: a key that was used with other content
    /// returns [`EnterOutcome::Mismatch`], never the answer to the other request.
    pub fn enter(&mut self, key: K, ticket: T, fingerprint: u64, until: TimeMs) -> EnterOutcome<T> {
        if !self.entries.contains_key(&key) && self.entries.len() >= self.limits.entries_max {
            return EnterOutcome::Full;
        }
        let entry = self.entries.entry(key.clone()).or_insert_with(|| Entry {
            state: KeyState::Idle,
            fingerprint,
            waiting: Vec::new(),
            until: TimeMs::new(0),
        });
        if until > entry.until {
            self.expiries.remove(&(entry.until, key.clone()));
            self.expiries.insert((until, key.clone()));
            entry.until = until;
        }
        if entry.fingerprint != fingerprint {
            return EnterOutcome::Mismatch;
        }
        match entry.state {
            KeyState::Idle => {
                entry.state = KeyState::Running { by: ticket };
                self.by_ticket.insert(ticket, key);
                EnterOutcome::Run
            }
            KeyState::Running { .. } => {
                entry.waiting.push(ticket);
                self.by_ticket.insert(ticket, key);
                EnterOutcome::Wait
            }
            KeyState::Answered { by } => EnterOutcome::Replay { of: by },
            KeyState::Spent => EnterOutcome::Spent,
        }
    }

    /// Records a complete answer to the running request; returns the requests that receive it too.
    pub fn record_answer(&mut self, now: TimeMs, ticket: T) -> Vec<T> {
        let Some(key) = self.by_ticket.remove(&ticket) else { return Vec::new() };
        let Some(entry) = self.entries.get_mut(&key) else { return Vec::new() };
        entry.state = KeyState::Answered { by: ticket };
        let waiting = std::mem::take(&mut entry.waiting);
        for waiter in &waiting {
            self.by_ticket.remove(waiter);
        }
        self.answers.push_back((now.after(self.limits.answer_life_ms), key, ticket));
        waiting
    }

    /// Records that a request completed without an answer; returns the requests that it releases.
    ///
    /// If nothing ran and `promote` is set, the longest-waiting request runs instead of being
    /// refused for a reason that applies only to the first one, such as an earlier deadline.
    pub fn record_refusal(&mut self, ticket: T, verdict: Verdict, promote: bool) -> Released<T> {
        let none = Released { waiting: Vec::new(), promoted: None };
        let Some(key) = self.by_ticket.remove(&ticket) else { return none };
        let Some(entry) = self.entries.get_mut(&key) else { return none };
        if entry.state != (KeyState::Running { by: ticket }) {
            entry.waiting.retain(|waiter| *waiter != ticket);
            return none;
        }
        let ran = verdict != Verdict::NotRun;
        entry.state = if ran { KeyState::Spent } else { KeyState::Idle };
        if !ran && promote && !entry.waiting.is_empty() {
            let next = entry.waiting.remove(0);
            entry.state = KeyState::Running { by: next };
            return Released { waiting: Vec::new(), promoted: Some(next) };
        }
        let waiting = std::mem::take(&mut entry.waiting);
        for waiter in &waiting {
            self.by_ticket.remove(waiter);
        }
        Released { waiting, promoted: None }
    }

    /// Removes a waiting request; a running one is unaffected.
    pub fn withdraw(&mut self, ticket: T) {
        let Some(key) = self.by_ticket.get(&ticket) else { return };
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.state != (KeyState::Running { by: ticket }) {
            entry.waiting.retain(|waiter| *waiter != ticket);
            self.by_ticket.remove(&ticket);
        }
    }

    /// Whether the ledger has an entry for the key.
    pub fn contains(&self, key: &K) -> bool {
        self.entries.contains_key(key)
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the ledger is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the time of the next expiry of a key or an answer.
    pub fn next_wake(&self) -> Option<TimeMs> {
        let key = self.expiries.first().map(|(at, _)| *at);
        let answer = self.answers.front().map(|(at, _, _)| *at);
        key.into_iter().chain(answer).min()
    }

    /// Removes expired keys and answers and returns them.
    pub fn expire(&mut self, now: TimeMs) -> (Vec<DroppedAnswer<T>>, Vec<K>) {
        let mut dropped = self.expire_answers(now);
        let mut expired_keys = Vec::new();
        while self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, key)) = self.expiries.pop_first() else { break };
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            if matches!(entry.state, KeyState::Running { .. }) {
                entry.until = now.after(RUNNING_EXTENSION_MS);
                self.expiries.insert((entry.until, key));
                continue;
            }
            if let KeyState::Answered { by } = entry.state {
                dropped.push(DroppedAnswer { of: by });
            }
            self.entries.remove(&key);
            expired_keys.push(key);
        }
        (dropped, expired_keys)
    }

    fn expire_answers(&mut self, now: TimeMs) -> Vec<DroppedAnswer<T>> {
        let mut dropped = Vec::new();
        while let Some((at, _, _)) = self.answers.front() {
            if *at > now && self.answers.len() <= self.limits.answers_max {
                break;
            }
            let Some((_, key, by)) = self.answers.pop_front() else { break };
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            if entry.state == (KeyState::Answered { by }) {
                entry.state = KeyState::Spent;
                dropped.push(DroppedAnswer { of: by });
            }
        }
        dropped
    }
}
