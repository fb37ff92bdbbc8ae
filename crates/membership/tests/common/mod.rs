//! A simulated network of members in virtual time.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use celeryhaven_membership::{
    Member, MemberState, Membership, MembershipAction, MembershipSettings, Message,
};
use celeryhaven_types::{Boot, DataCentreName, Incarnation, NodeName, TimeMs};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Maximum one-way delay of a message.
const DELAY_MS_MAX: u64 = 40;

type Packet = Reverse<(u64, u64, usize, usize, Vec<u8>)>;

/// Members, and the network between them.
pub struct Network {
    pub now: u64,
    pub nodes: Vec<Membership>,
    pub down: BTreeSet<usize>,
    pub cut: BTreeSet<(usize, usize)>,
    pub sent: Vec<(u64, u64)>,
    pub changes: BTreeMap<usize, Vec<(u64, NodeName, MemberState)>>,
    pub superseded: BTreeSet<usize>,
    packets: BinaryHeap<Packet>,
    next_packet: u64,
    rng: SmallRng,
}

pub fn name(index: usize) -> NodeName {
    NodeName::new(format!("entry-{index:03}"))
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8], 7000))
}

fn member(index: usize, boot: u64) -> Member {
    let incarnation = Incarnation::new(name(index), Boot::new(boot));
    let data_centre = DataCentreName::new(format!("dc-{}", index % 3));
    Member::new(incarnation, address(index), data_centre)
}

impl Network {
    pub fn new(count: usize, seed: u64) -> Self {
        let nodes = (0..count).map(|index| Self::node(index, 1, 0, seed)).collect();
        Self {
            now: 0,
            nodes,
            down: BTreeSet::new(),
            cut: BTreeSet::new(),
            sent: vec![(0, 0); count],
            changes: BTreeMap::new(),
            superseded: BTreeSet::new(),
            packets: BinaryHeap::new(),
            next_packet: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn node(index: usize, boot: u64, now: u64, seed: u64) -> Membership {
        let settings = MembershipSettings::default();
        let seed = seed.wrapping_mul(1_000_003).wrapping_add(index as u64 * 31 + boot);
        let seeds = vec![address(0), address(1)];
        Membership::new(TimeMs::new(now), member(index, boot), settings, seed).with_seeds(seeds)
    }

    /// Adds a member with a later boot of an existing node, which keeps running.
    pub fn add_successor(&mut self, index: usize, boot: u64, seed: u64) -> usize {
        let settings = MembershipSettings::default();
        let mut successor = member(index, boot);
        successor.address = address(100 + index);
        let seeds = vec![address(0), address(1)];
        let now = TimeMs::new(self.now);
        self.nodes.push(Membership::new(now, successor, settings, seed).with_seeds(seeds));
        self.sent.push((0, 0));
        self.nodes.len() - 1
    }

    /// Drops all messages between `one` and the other members.
    pub fn isolate(&mut self, one: usize) {
        for other in 0..self.nodes.len() {
            self.cut.insert((one, other));
            self.cut.insert((other, one));
        }
    }

    pub fn run_ms(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end {
            let due = self.packets.peek().map_or(u64::MAX, |Reverse(packet)| packet.0);
            let wake = (0..self.nodes.len())
                .filter(|index| !self.down.contains(index))
                .map(|index| self.nodes[index].next_wake().get())
                .min()
                .unwrap_or(u64::MAX);
            self.now = due.min(wake).max(self.now).min(end);
            self.deliver_due();
            self.tick_due();
        }
    }

    fn deliver_due(&mut self) {
        while self.packets.peek().is_some_and(|Reverse(packet)| packet.0 <= self.now) {
            let Some(Reverse((_, _, from, to, bytes))) = self.packets.pop() else { return };
            if self.down.contains(&to) {
                continue;
            }
            let message: Message = postcard::from_bytes(&bytes).expect("what was sent");
            let mut out = Vec::new();
            let sender = self.nodes[from].me().node().clone();
            self.nodes[to].receive_message(TimeMs::new(self.now), &sender, message, &mut out);
            self.execute(to, out);
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

    fn execute(&mut self, from: usize, out: Vec<MembershipAction>) {
        for action in out {
            match action {
                MembershipAction::Send { to, message } => self.send(from, to, &message),
                MembershipAction::Changed { member, state } => {
                    let change = (self.now, member.node().clone(), state);
                    self.changes.entry(from).or_default().push(change);
                }
                MembershipAction::Superseded { .. } => {
                    self.superseded.insert(from);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &Message) {
        let bytes = postcard::to_allocvec(message).expect("a message");
        self.sent[from].0 += 1;
        self.sent[from].1 += bytes.len() as u64;
        let receivers: Vec<usize> =
            (0..self.nodes.len()).filter(|index| self.nodes[*index].me().address == to).collect();
        // The latest boot at an address receives its messages.
        let Some(to) = receivers.last().copied() else { return };
        if self.cut.contains(&(from, to)) {
            return;
        }
        let arrives = self.now + self.rng.random_range(1..=DELAY_MS_MAX);
        self.next_packet += 1;
        self.packets.push(Reverse((arrives, self.next_packet, from, to, bytes)));
    }
}
