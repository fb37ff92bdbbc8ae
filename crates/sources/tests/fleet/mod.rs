//! A fleet in virtual time: nodes that follow sources, the polls between them, and the store.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use celeryhaven_peers::{NodeRecord, Peers};
use celeryhaven_sources::{Action, Candidates, Poll, PollId, Reply, Source, SourceFollower};
use celeryhaven_types::{DataCentreName, NodeName, TimeMs};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time that a message takes, in milliseconds.
const LATENCY_MS: u64 = 2;

/// Time before the faults, and the longest time from these to the change, in milliseconds.
const SETTLE_MS: u64 = 6_000;
const CHANGE_AFTER_MS_MAX: u64 = 3_000;

/// Time after which a node that does not know the change counts as never knowing it.
const KNOWN_TIMEOUT_MS: u64 = 10_000;

/// Age of the last contact with the store up to which a node vouches for what it knows.
const CONTACT_AGE_MS_MAX: u64 = 1_500;

/// Nodes above which only relays may use the store.
const SMALL_FLEET_NODES_MAX: usize = 500;

/// What is wrong from a moment on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Shares of the nodes.
    pub turned_away: f64,
    pub suspended: f64,
    pub roots_turned_away: bool,
    pub roots_suspended: bool,
    /// Whether the store does not answer those that it turns away, rather than reject them.
    pub is_silent: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Waiting {
    poller: usize,
    id: PollId,
    from: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Step { node: usize },
    AtSource { source: Option<usize>, poll: Waiting, wait_ms: u64 },
    WaitEnds { source: Option<usize>, poll: Waiting },
    Replied { poll: Waiting, version: u64, contact_at: u64, waited: bool },
    Failed { node: usize, id: PollId },
    Begin,
    Change,
}

struct Node {
    follower: SourceFollower<SmallRng>,
    candidates: Candidates,
    open: BTreeMap<PollId, Poll>,
    version: u64,
    known_at: Option<u64>,
    contact_at: Option<u64>,
    is_lost: bool,
    is_asked: bool,
    waiting: Vec<Waiting>,
    is_turned_away: bool,
    is_suspended: bool,
}

pub struct Fleet {
    nodes: Vec<Node>,
    index: BTreeMap<NodeName, usize>,
    roots: Vec<usize>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    store_version: u64,
    store_waiting: Vec<Waiting>,
    faults: Faults,
    rng: SmallRng,
}

fn record(number: usize) -> NodeRecord {
    NodeRecord {
        node: NodeName::new(format!("entry-{number}")),
        data_centre: DataCentreName::new(["a", "b", "c"][number % 3]),
        caller_address: "10.0.0.1:80".parse().unwrap(),
        ready_address: "10.0.0.1:81".parse().unwrap(),
        peer_address: "10.0.0.1:82".parse().unwrap(),
        token: String::new(),
        boot: 1,
        heartbeat: 1,
        ready: true,
        millicores: 0,
    }
}

impl Fleet {
    pub fn new(nodes: usize, seed: u64) -> Self {
        let records: Vec<_> = (0..nodes).map(record).collect();
        let index = records.iter().enumerate().map(|(number, of)| (of.node.clone(), number));
        let mut fleet = Self {
            nodes: Vec::new(),
            index: index.collect(),
            roots: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            store_version: 1,
            store_waiting: Vec::new(),
            faults: Faults::default(),
            rng: SmallRng::seed_from_u64(seed),
        };
        for (number, own) in records.iter().enumerate() {
            let mut peers = Peers::new(own.node.clone()).with_own_record(own);
            peers.apply_records(TimeMs::new(0), records.clone());
            let upstream = peers.upstream();
            let nodes_of = |records: &[NodeRecord]| -> Vec<NodeName> {
                records.iter().map(|record| record.node.clone()).collect()
            };
            let is_root = upstream.relays.is_empty();
            if is_root {
                fleet.roots.push(number);
            }
            let relays = nodes_of(&upstream.relays).into_iter().map(Source::Node);
            let preferred = if is_root { vec![Source::Store] } else { relays.collect() };
            let may_use_store = nodes <= SMALL_FLEET_NODES_MAX || upstream.is_relay;
            let others = nodes_of(&upstream.others);
            fleet.nodes.push(Node {
                follower: SourceFollower::new(SmallRng::seed_from_u64(seed ^ number as u64)),
                candidates: Candidates { preferred, others, may_use_store },
                open: BTreeMap::new(),
                version: 0,
                known_at: None,
                contact_at: None,
                is_lost: false,
                is_asked: upstream.is_asked,
                waiting: Vec::new(),
                is_turned_away: false,
                is_suspended: false,
            });
            let start = fleet.rng.random_range(0..300);
            fleet.at(start, Event::Step { node: number });
        }
        fleet
    }

    /// Plays a change under faults; returns how late each node knew it that could know it.
    pub fn lags_ms(&mut self, faults: Faults) -> Vec<(usize, u64)> {
        self.faults = faults;
        let change_at = SETTLE_MS + self.rng.random_range(0..CHANGE_AFTER_MS_MAX);
        self.at(SETTLE_MS, Event::Begin);
        self.at(change_at, Event::Change);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > change_at + KNOWN_TIMEOUT_MS {
                break;
            }
            self.handle(now, event);
        }
        let reaches_store = |node: &Node| !node.is_turned_away && !node.is_suspended;
        if !self.nodes.iter().any(reaches_store) {
            return Vec::new();
        }
        let known = |node: &Node| node.known_at.unwrap_or(u64::MAX).saturating_sub(change_at);
        let running = self.nodes.iter().enumerate().filter(|(_, node)| !node.is_suspended);
        running.map(|(number, node)| (number, known(node))).collect()
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Begin => self.begin_faults(),
            Event::Change => {
                self.store_version += 1;
                for poll in std::mem::take(&mut self.store_waiting) {
                    self.reply_from_store(now, poll, false);
                }
            }
            Event::Step { node } => self.step(now, node),
            Event::AtSource { source, poll, wait_ms } => self.arrive(now, source, poll, wait_ms),
            Event::WaitEnds { source: None, poll } => {
                if let Some(at) = self.store_waiting.iter().position(|waiting| *waiting == poll) {
                    self.store_waiting.remove(at);
                    self.reply_from_store(now, poll, true);
                }
            }
            Event::WaitEnds { source: Some(node), poll } => {
                let waiting = &mut self.nodes[node].waiting;
                if let Some(at) = waiting.iter().position(|waiting| *waiting == poll) {
                    waiting.remove(at);
                    self.reply_from_node(now, node, poll, true);
                }
            }
            Event::Replied { poll, version, contact_at, waited } => {
                self.replied(now, poll, version, contact_at, waited);
            }
            Event::Failed { node, id } => {
                if !self.nodes[node].is_suspended && self.nodes[node].open.remove(&id).is_some() {
                    let state = &mut self.nodes[node];
                    state.follower.failed(TimeMs::new(now), id, &state.candidates);
                    self.step(now, node);
                }
            }
        }
    }

    fn begin_faults(&mut self) {
        let faults = self.faults;
        let nodes = self.nodes.len();
        for number in 0..nodes {
            let is_root = self.roots.contains(&number) && nodes > 2;
            let node = &mut self.nodes[number];
            node.is_turned_away = (faults.roots_turned_away && is_root && self.roots.len() < nodes)
                || self.rng.random_bool(faults.turned_away);
            node.is_suspended = (faults.roots_suspended && is_root && self.roots.len() < nodes)
                || self.rng.random_bool(faults.suspended);
        }
        // Polls that wait at the store are cut off as well.
        let nodes = &self.nodes;
        self.store_waiting.retain(|poll| !nodes[poll.poller].is_turned_away);
    }

    fn step(&mut self, now: u64, number: usize) {
        let node = &mut self.nodes[number];
        if node.is_suspended {
            return;
        }
        let actions = node.follower.step(TimeMs::new(now), &node.candidates);
        self.carry_out(now, number, actions);
        let node = &self.nodes[number];
        let next = node.follower.next_step_at(&node.candidates).since(TimeMs::new(0));
        self.at(next.max(now + 1), Event::Step { node: number });
    }

    fn carry_out(&mut self, now: u64, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Poll(poll) => {
                    let waiting =
                        Waiting { poller: number, id: poll.id, from: self.nodes[number].version };
                    let source = match &poll.source {
                        Source::Store => None,
                        Source::Node(node) => Some(self.index[node]),
                    };
                    let wait_ms = poll.wait_ms;
                    let event = Event::AtSource { source, poll: waiting, wait_ms };
                    self.at(now + LATENCY_MS, event);
                    self.at(now + poll.timeout_ms, Event::Failed { node: number, id: poll.id });
                    self.nodes[number].open.insert(poll.id, poll);
                }
                Action::Cancel(id) => {
                    self.nodes[number].open.remove(&id);
                }
                Action::Follow(_) => {}
                Action::SetLost(is_lost) => {
                    self.nodes[number].is_lost = is_lost;
                    self.answer_waiting(now, number);
                }
            }
        }
    }

    fn arrive(&mut self, now: u64, source: Option<usize>, poll: Waiting, wait_ms: u64) {
        match source {
            None if self.nodes[poll.poller].is_turned_away => {
                if !self.faults.is_silent {
                    let event = Event::Failed { node: poll.poller, id: poll.id };
                    self.at(now + LATENCY_MS, event);
                }
            }
            None if poll.from < self.store_version => self.reply_from_store(now, poll, false),
            None => {
                self.store_waiting.push(poll);
                self.at(now + wait_ms, Event::WaitEnds { source, poll });
            }
            Some(number) if self.nodes[number].is_suspended => {}
            Some(number) => {
                let node = &self.nodes[number];
                let is_known = node.is_asked && node.contact_at.is_some();
                match is_known && !node.is_lost && poll.from >= node.version {
                    true => {
                        self.nodes[number].waiting.push(poll);
                        self.at(now + wait_ms, Event::WaitEnds { source, poll });
                    }
                    false => self.reply_from_node(now, number, poll, false),
                }
            }
        }
    }

    fn reply_from_store(&mut self, now: u64, poll: Waiting, waited: bool) {
        if !self.nodes[poll.poller].is_turned_away {
            let version = self.store_version;
            let event = Event::Replied { poll, version, contact_at: now, waited };
            self.at(now + LATENCY_MS, event);
        }
    }

    fn reply_from_node(&mut self, now: u64, number: usize, poll: Waiting, waited: bool) {
        let node = &self.nodes[number];
        if node.is_suspended {
            return;
        }
        let contact_at = node.contact_at.filter(|at| now - at <= CONTACT_AGE_MS_MAX);
        let event = match contact_at.filter(|_| node.is_asked && !node.is_lost) {
            Some(contact_at) => {
                Event::Replied { poll, version: node.version.max(poll.from), contact_at, waited }
            }
            None => Event::Failed { node: poll.poller, id: poll.id },
        };
        self.at(now + LATENCY_MS, event);
    }

    fn replied(&mut self, now: u64, poll: Waiting, version: u64, contact_at: u64, waited: bool) {
        let number = poll.poller;
        if self.nodes[number].is_suspended {
            return;
        }
        let Some(open) = self.nodes[number].open.remove(&poll.id) else { return };
        let node = &mut self.nodes[number];
        let has_changes = version > node.version;
        // What a node can conclude without the clock of the source.
        let age_ms = now.saturating_sub(LATENCY_MS).saturating_sub(contact_at);
        let answered_at = open.sent_at.after(if waited { open.wait_ms } else { 0 });
        let confirmed_at = answered_at.before(age_ms.min(CONTACT_AGE_MS_MAX));
        if has_changes {
            node.version = version;
            node.known_at = Some(now).filter(|_| version > 1);
        }
        let confirmed_ms = confirmed_at.since(TimeMs::new(0));
        node.contact_at = node.contact_at.max(Some(confirmed_ms));
        let pause_ms = match (has_changes, &open.source) {
            (false, _) => 0,
            (true, Source::Store) => 100,
            (true, Source::Node(_)) => 150,
        };
        let reply = Reply { confirmed_at, has_changes, pause_ms };
        let candidates = node.candidates.clone();
        let actions = node.follower.replied(TimeMs::new(now), poll.id, reply, &candidates);
        self.carry_out(now, number, actions);
        self.answer_waiting(now, number);
        self.step(now, number);
    }

    /// Answers those that wait at a node, if it knows more or has lost its sources.
    fn answer_waiting(&mut self, now: u64, number: usize) {
        let node = &mut self.nodes[number];
        let (version, is_lost) = (node.version, node.is_lost);
        let (due, waiting): (Vec<_>, Vec<_>) =
            node.waiting.drain(..).partition(|poll| is_lost || poll.from < version);
        node.waiting = waiting;
        due.into_iter().for_each(|poll| self.reply_from_node(now, number, poll, false));
    }
}
