//! A relay follows the Object API for two others; one of them is cut off and stops confirming.
//!
//! Run with `cargo run -p celeryhaven-spread --example cut_off_node`.

use std::collections::VecDeque;
use std::sync::Arc;

use celeryhaven_spread::{
    Confirmation, FleetView, Spread, SpreadAction, SpreadMessage, SpreadPeer, SpreadSettings,
};
use celeryhaven_types::store::{Object, ObjectChange, ObjectKey, ObjectVersion};
use celeryhaven_types::store::{StoreReply, StoreRequest};
use celeryhaven_types::{NodeName, TimeMs};

const KEY: &str = "config/current";
const NODES: usize = 3;
const RELAY: usize = 0;
const CUT_OFF: usize = 2;
const CUT_AT_MS: u64 = 5_000;
const WRITES: [(u64, &str); 2] = [(2_000, "\"second\""), (8_000, "\"third\"")];
/// Start of the processes; the nodes' clocks start with their VMs, slightly earlier.
const START_MS: u64 = 1_000;
const END_MS: u64 = 14_000;
const STEP_MS: usize = 10;

fn name(index: usize) -> NodeName {
    NodeName::new(format!("entry-{index}"))
}

fn node(index: usize) -> Spread {
    let prefixes = vec![ObjectKey::new("config/")];
    let (settings, key) = (SpreadSettings::default(), ObjectKey::new(KEY));
    let mut spread = Spread::new(TimeMs::new(START_MS), settings, prefixes, key, index as u64);
    let others = (0..NODES).filter(|other| *other != index);
    let peers = others.map(|other| SpreadPeer {
        node: name(other),
        in_same_data_centre: true,
        is_relay: other == RELAY,
    });
    let fleet_view = FleetView {
        peers: peers.collect(),
        is_relay: index == RELAY,
        answering: NODES,
        known: NODES,
    };
    spread.set_fleet_view(fleet_view);
    spread
}

/// An Object API that holds one object.
struct OneObject {
    version: ObjectVersion,
    value: Arc<str>,
    watch: Option<(usize, ObjectVersion, u64)>,
}

impl OneObject {
    fn write(&mut self, value: &str) {
        self.version = self.version.next();
        self.value = value.into();
    }

    fn call(&mut self, now_ms: u64, feed: usize, request: &StoreRequest) -> Option<StoreReply> {
        match request {
            StoreRequest::List { .. } => {
                let (key, version) = (ObjectKey::new(KEY), self.version);
                let objects = vec![Object { key, version, value: self.value.clone() }];
                Some(StoreReply::Listed { version, objects })
            }
            StoreRequest::Watch { from, wait_ms, .. } => {
                self.watch = Some((feed, *from, now_ms + wait_ms));
                None
            }
            _ => Some(StoreReply::Rejected),
        }
    }

    /// Returns the answer to the pending watch, once an object changed or the wait expired.
    fn due(&mut self, now_ms: u64) -> Option<(usize, StoreReply)> {
        let (feed, from, until) = self.watch?;
        if self.version == from && now_ms < until {
            return None;
        }
        self.watch = None;
        let (key, version) = (ObjectKey::new(KEY), self.version);
        let change = ObjectChange { key, version, value: Some(self.value.clone()) };
        let changes = if version > from { vec![change] } else { Vec::new() };
        Some((feed, StoreReply::Changes { version, changes }))
    }
}

struct Fleet {
    now_ms: u64,
    nodes: Vec<Spread>,
    store: OneObject,
    messages: VecDeque<(usize, NodeName, SpreadMessage)>,
}

impl Fleet {
    fn now(&self) -> TimeMs {
        TimeMs::new(self.now_ms)
    }

    fn is_cut_off(&self, index: usize) -> bool {
        index == CUT_OFF && self.now_ms >= CUT_AT_MS
    }

    fn execute(&mut self, index: usize, actions: Vec<SpreadAction>) {
        for action in actions {
            match action {
                SpreadAction::Send { to, message } => self.messages.push_back((index, to, message)),
                SpreadAction::Store { feed, request } => self.call(index, feed, &request),
                SpreadAction::Changed(change) => {
                    let (version, value) = (change.version, change.value);
                    println!("{:>6} ms: entry-{index} applies {version}: {value:?}", self.now_ms);
                }
            }
        }
    }

    fn call(&mut self, index: usize, feed: usize, request: &StoreRequest) {
        let reply = match self.is_cut_off(index) {
            true => Some(StoreReply::Unknown),
            false => self.store.call(self.now_ms, feed, request),
        };
        if let Some(reply) = reply {
            self.reply(index, feed, reply);
        }
    }

    fn reply(&mut self, index: usize, feed: usize, reply: StoreReply) {
        let (now, mut actions) = (self.now(), Vec::new());
        self.nodes[index].store_reply(now, feed, reply, &mut actions);
        self.execute(index, actions);
    }

    fn step(&mut self) {
        let now = self.now();
        if let Some((feed, reply)) = self.store.due(self.now_ms) {
            self.reply(RELAY, feed, reply);
        }
        for (from, to, message) in std::mem::take(&mut self.messages) {
            let Some(to) = (0..NODES).find(|index| name(*index) == to) else { continue };
            if self.is_cut_off(from) || self.is_cut_off(to) {
                continue;
            }
            let mut actions = Vec::new();
            self.nodes[to].receive_message(now, &name(from), message, &mut actions);
            self.execute(to, actions);
        }
        for index in 0..NODES {
            if self.nodes[index].next_wake() <= now {
                let mut actions = Vec::new();
                self.nodes[index].tick(now, &mut actions);
                self.execute(index, actions);
            }
        }
    }
}

fn main() {
    let store =
        OneObject { version: ObjectVersion::new(1), value: "\"first\"".into(), watch: None };
    let nodes = (0..NODES).map(node).collect();
    let mut fleet = Fleet { now_ms: START_MS, nodes, store, messages: VecDeque::new() };
    let mut confirmations = [Confirmation::Withheld; NODES];
    for now_ms in (START_MS..END_MS).step_by(STEP_MS) {
        fleet.now_ms = now_ms;
        if let Some((_, value)) = WRITES.iter().find(|(at_ms, _)| *at_ms == now_ms) {
            println!("{now_ms:>6} ms: {value} is written to the Object API");
            fleet.store.write(value);
        }
        if now_ms == CUT_AT_MS {
            println!("{now_ms:>6} ms: entry-{CUT_OFF} is cut off from all other nodes");
        }
        fleet.step();
        for (index, before) in confirmations.iter_mut().enumerate() {
            let confirmation = fleet.nodes[index].confirmation(fleet.now());
            if std::mem::replace(before, confirmation) != confirmation {
                println!("{now_ms:>6} ms: entry-{index} confirmation: {confirmation:?}");
            }
        }
    }
}
