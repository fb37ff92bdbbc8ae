//! A simulated fleet with its network and Object API, in virtual time.

// Each test file uses only a part of this module.
#![allow(dead_code)]

mod store;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use celeryhaven_spread::{
    Confirmation, FleetView, Spread, SpreadAction, SpreadMessage, SpreadPeer, SpreadSettings,
};
use celeryhaven_types::store::{ObjectKey, StoreReply, StoreRequest};
use celeryhaven_types::{NodeName, TimeMs};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
pub use store::FakeStore;

/// Maximum one-way delay between nodes, and to the Object API.
const DELAY_MS_MAX: u64 = 60;

#[derive(Clone, Debug, PartialEq)]
enum Event {
    Message { from: usize, to: usize, bytes: Vec<u8> },
    Call { node: usize, boot: u64, feed: usize, request: StoreRequest },
    Reply { node: usize, boot: u64, feed: usize, reply: StoreReply },
}

/// The fleet, its network and its Object API.
pub struct World {
    pub now: u64,
    pub nodes: Vec<Spread>,
    pub store: FakeStore,
    pub down: BTreeSet<usize>,
    /// Network partition of each node; only nodes of the same group reach each other.
    pub group: Vec<u32>,
    /// Partitions that reach the Object API.
    pub store_groups: BTreeSet<u32>,
    /// Versions of the confirmed object that each node applied, and when.
    pub in_force: Vec<BTreeMap<u64, u64>>,
    /// Number of versions that were applied after a later one.
    pub reverted: usize,
    pub sent_bytes: Vec<u64>,
    pub sent_messages: Vec<u64>,
    pub data_centres: usize,
    /// Delay after which the nodes' membership reflects a partition.
    pub membership_lag_ms: u64,
    boots: Vec<u64>,
    highest: Vec<u64>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    event_bodies: BTreeMap<u64, Event>,
    next_event: u64,
    membership_update_at: Option<u64>,
    rng: SmallRng,
}

pub const KEY: &str = "config/current";

pub fn name(index: usize) -> NodeName {
    NodeName::new(format!("entry-{index:03}"))
}

fn index_of(node: &NodeName) -> usize {
    node.as_str().rsplit('-').next().and_then(|digits| digits.parse().ok()).expect("a node name")
}

fn spread(now: u64, seed: u64) -> Spread {
    let prefixes = vec![ObjectKey::new("config/"), ObjectKey::new("placement/")];
    let settings = SpreadSettings::default();
    Spread::new(TimeMs::new(now), settings, prefixes, ObjectKey::new(KEY), seed)
}

impl World {
    pub fn new(count: usize, data_centres: usize, seed: u64) -> Self {
        let mut world = Self {
            now: 1_000,
            nodes: (0..count).map(|index| spread(1_000, seed * 1_009 + index as u64)).collect(),
            store: FakeStore::default(),
            down: BTreeSet::new(),
            group: vec![0; count],
            store_groups: BTreeSet::from([0]),
            in_force: vec![BTreeMap::new(); count],
            reverted: 0,
            sent_bytes: vec![0; count],
            sent_messages: vec![0; count],
            data_centres,
            membership_lag_ms: 5_000,
            boots: vec![0; count],
            highest: vec![0; count],
            events: BinaryHeap::new(),
            event_bodies: BTreeMap::new(),
            next_event: 0,
            membership_update_at: None,
            rng: SmallRng::seed_from_u64(seed),
        };
        world.update_fleet_views();
        world
    }

    /// Restarts a node with an empty cache.
    pub fn restart(&mut self, index: usize, seed: u64) {
        self.nodes[index] = spread(self.now, seed);
        self.boots[index] += 1;
        self.highest[index] = 0;
        self.down.remove(&index);
        self.update_fleet_views();
    }

    /// Moves nodes to a partition; membership reflects it after `membership_lag_ms`.
    pub fn partition(&mut self, nodes: impl IntoIterator<Item = usize>, group: u32) {
        for node in nodes {
            self.group[node] = group;
        }
        self.membership_update_at = Some(self.now + self.membership_lag_ms);
    }

    pub fn confirmation(&self, index: usize) -> Confirmation {
        self.nodes[index].confirmation(TimeMs::new(self.now))
    }

    pub fn value(&self, index: usize) -> Option<String> {
        self.nodes[index].cache().value(&ObjectKey::new(KEY)).map(str::to_owned)
    }

    /// Gives every node its view of the fleet, in place of membership.
    pub fn update_fleet_views(&mut self) {
        let count = self.nodes.len();
        for index in 0..count {
            let own_data_centre = index % self.data_centres;
            let reach = |other: &usize| {
                !self.down.contains(other) && self.group[*other] == self.group[index]
            };
            let data_centres = self.data_centres;
            let relays_of = |data_centre: usize| {
                (0..count).filter(move |n| n % data_centres == data_centre).filter(reach).take(2)
            };
            let relays: BTreeSet<usize> = (0..data_centres).flat_map(relays_of).collect();
            let peers = (0..count).filter(|other| *other != index).filter(reach);
            let peers = peers.map(|other| SpreadPeer {
                node: name(other),
                in_same_data_centre: other % self.data_centres == own_data_centre,
                is_relay: relays.contains(&other),
            });
            let peers: Vec<_> = peers.collect();
            let answering = peers.len() + 1;
            let is_relay = relays.contains(&index);
            let fleet_view = FleetView { peers, is_relay, answering, known: count };
            self.nodes[index].set_fleet_view(fleet_view);
        }
    }

    pub fn run_ms(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end {
            self.now = self.next_event_at().clamp(self.now, end);
            if self.membership_update_at.is_some_and(|at| at <= self.now) {
                self.membership_update_at = None;
                self.update_fleet_views();
            }
            self.process_due_events();
            self.tick_due();
            for (node, boot, feed, reply) in self.store.due(self.now) {
                self.answer(node, boot, feed, reply);
            }
        }
    }

    fn next_event_at(&self) -> u64 {
        let event = self.events.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
        let running = (0..self.nodes.len()).filter(|index| !self.down.contains(index));
        let wake = running.map(|index| self.nodes[index].next_wake().get()).min();
        let membership_update = self.membership_update_at.unwrap_or(u64::MAX);
        event.min(wake.unwrap_or(u64::MAX)).min(self.store.next_due()).min(membership_update)
    }

    fn process_due_events(&mut self) {
        while self.events.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
            let Some(Reverse((_, id))) = self.events.pop() else { return };
            match self.event_bodies.remove(&id) {
                Some(Event::Message { from, to, bytes }) => self.deliver(from, to, &bytes),
                Some(Event::Call { node, boot, feed, request }) => {
                    let replies = self.store.call(self.now, (node, boot, feed), request);
                    for (node, boot, feed, reply) in replies {
                        self.answer(node, boot, feed, reply);
                    }
                }
                Some(Event::Reply { node, boot, feed, reply }) => {
                    self.reply(node, boot, feed, reply);
                }
                None => {}
            }
        }
    }

    fn tick_due(&mut self) {
        for index in 0..self.nodes.len() {
            if self.down.contains(&index) || self.nodes[index].next_wake().get() > self.now {
                continue;
            }
            let mut out = Vec::new();
            self.nodes[index].tick(TimeMs::new(self.now), &mut out);
            self.execute(index, out);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if self.down.contains(&to) || self.group[from] != self.group[to] {
            return;
        }
        let message: SpreadMessage = postcard::from_bytes(bytes).expect("what was sent");
        let mut out = Vec::new();
        self.nodes[to].receive_message(TimeMs::new(self.now), &name(from), message, &mut out);
        self.execute(to, out);
    }

    fn reply(&mut self, node: usize, boot: u64, feed: usize, reply: StoreReply) {
        if self.down.contains(&node) || self.boots[node] != boot {
            return;
        }
        let reaches = self.store_groups.contains(&self.group[node]);
        let reply = if reaches { reply } else { StoreReply::Unknown };
        let mut out = Vec::new();
        self.nodes[node].store_reply(TimeMs::new(self.now), feed, reply, &mut out);
        self.execute(node, out);
    }

    fn answer(&mut self, node: usize, boot: u64, feed: usize, reply: StoreReply) {
        self.schedule(Event::Reply { node, boot, feed, reply });
    }

    fn execute(&mut self, from: usize, out: Vec<SpreadAction>) {
        for action in out {
            match action {
                SpreadAction::Send { to, message } => self.send(from, &to, &message),
                SpreadAction::Store { feed, request } => {
                    let boot = self.boots[from];
                    match self.store_groups.contains(&self.group[from]) {
                        true => self.schedule(Event::Call { node: from, boot, feed, request }),
                        false => self.answer(from, boot, feed, StoreReply::Unknown),
                    }
                }
                SpreadAction::Changed(change) if change.key.as_str() == KEY => {
                    let version = change.version.get();
                    if version < self.highest[from] {
                        self.reverted += 1;
                    }
                    self.highest[from] = version;
                    self.in_force[from].insert(version, self.now);
                }
                SpreadAction::Changed(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &NodeName, message: &SpreadMessage) {
        let bytes = postcard::to_allocvec(message).expect("a message");
        self.sent_bytes[from] += bytes.len() as u64;
        self.sent_messages[from] += 1;
        self.schedule(Event::Message { from, to: index_of(to), bytes });
    }

    fn schedule(&mut self, event: Event) {
        let at = self.now + self.rng.random_range(1..=DELAY_MS_MAX);
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event)));
        self.event_bodies.insert(self.next_event, event);
    }
}
