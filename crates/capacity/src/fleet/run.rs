use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use celeryhaven_node::{
    AttemptEvent, EntryAction, EntryEvent, EntryNode, EntrySettings, Machine, PollOutcome,
};
use celeryhaven_policy::{FairPolicy, FairSettings};
use celeryhaven_types::{Boot, Incarnation, NodeName, TimeMs, VmEntry};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::time::{ClockId, clock_gettime};

use crate::figures::{Figures, MessageKind};
use crate::fleet::FleetSize;
use crate::fleet::declared::{
    address, config, data_centre, healthy_report, node_name, placements, vms,
};
use crate::fleet::events::{ScheduledEvent, is_request};
use crate::fleet::load::{answer, arrival};
use crate::fleet::store::Store;

/// Overhead per message: IP and UDP headers (28), QUIC short header, tag and frame (32), and half
/// an acknowledgement (30).
const MESSAGE_OVERHEAD_BYTES: u64 = 90;
/// One-way delay of messages and answers, in microseconds.
const DELAY_US: u64 = 1_000;

/// A fleet of entry nodes in virtual time.
pub struct Fleet {
    size: FleetSize,
    nodes: Vec<EntryNode<FairPolicy>>,
    wakes_us: Vec<u64>,
    by_address: BTreeMap<SocketAddr, usize>,
    vms: Vec<VmEntry>,
    store: Store,
    scheduled: BinaryHeap<ScheduledEvent>,
    order: u64,
    now_us: u64,
    next_ticket: u64,
    next_arrival_us: f64,
    rng: SmallRng,
    figures: Figures,
    actions: Vec<EntryAction>,
}

impl Fleet {
    /// Starts all nodes at once, with a configuration and placements in the Object API.
    pub fn new(size: FleetSize, seed: u64) -> Self {
        let mut store = Store::default();
        store.write("config/current", text(&config(&size, 1)));
        for placement in placements(&size) {
            store.write(&format!("placement/{}", placement.domain), text(&placement));
        }
        let nodes: Vec<_> = (0..size.nodes).map(|number| node(&size, number)).collect();
        Self {
            size,
            wakes_us: vec![0; nodes.len()],
            by_address: (0..size.nodes).map(|number| (address(30, number), number)).collect(),
            nodes,
            vms: vms(&size),
            store,
            scheduled: BinaryHeap::new(),
            order: 0,
            now_us: 1_000_000,
            next_ticket: 0,
            next_arrival_us: f64::INFINITY,
            rng: SmallRng::seed_from_u64(seed),
            figures: Figures::default(),
            actions: Vec::new(),
        }
    }

    /// Starts the arrival of requests.
    pub fn load(&mut self) {
        self.next_arrival_us = self.now_us as f64;
    }

    /// Writes a new configuration, as a change by an operator does.
    pub fn change_config(&mut self, number: u64) {
        self.store.write("config/current", text(&config(&self.size, number)));
    }

    /// Runs for a span of virtual time and returns its cost.
    pub fn run(&mut self, seconds: u64) -> Figures {
        let nodes = self.nodes.len();
        self.figures = Figures { nodes, seconds: seconds as f64, ..Figures::default() };
        let end_us = self.now_us + seconds * 1_000_000;
        while self.now_us < end_us {
            self.now_us = self.next_us().clamp(self.now_us, end_us);
            self.arrive();
            self.deliver_due();
            self.tick();
            for (node, call, reply) in self.store.due(self.now_us) {
                self.schedule(0, node, EntryEvent::Store { call, reply });
            }
        }
        std::mem::take(&mut self.figures)
    }

    /// Returns the number of nodes that are ready for requests.
    pub fn ready(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_ready()).count()
    }

    fn next_us(&self) -> u64 {
        let event = self.scheduled.peek().map_or(u64::MAX, |scheduled| scheduled.at_us);
        let wake = self.wakes_us.iter().copied().min().unwrap_or(u64::MAX);
        let arrival = self.next_arrival_us.ceil() as u64;
        event.min(wake).min(arrival).min(self.store.next_due_us().max(self.now_us))
    }

    fn arrive(&mut self) {
        while self.next_arrival_us <= self.now_us as f64 {
            self.next_arrival_us += 1e6 / self.size.requests_per_second;
            self.next_ticket += 1;
            let node = self.rng.random_range(0..self.nodes.len());
            self.handle_event(node, arrival(self.next_ticket));
        }
    }

    fn deliver_due(&mut self) {
        while self.scheduled.peek().is_some_and(|scheduled| scheduled.at_us <= self.now_us) {
            let Some(scheduled) = self.scheduled.pop() else { return };
            self.handle_event(scheduled.node, scheduled.event);
        }
    }

    fn tick(&mut self) {
        for node in 0..self.nodes.len() {
            if self.wakes_us[node] <= self.now_us {
                self.handle_event(node, EntryEvent::Tick);
            }
        }
    }

    fn handle_event(&mut self, node: usize, event: EntryEvent) {
        let is_request = is_request(&event);
        if let EntryEvent::Attempt { event: AttemptEvent::Finished, .. } = event {
            self.figures.requests += 1;
        }
        let now = TimeMs::new(self.now_us / 1_000);
        let mut actions = std::mem::take(&mut self.actions);
        let before_us = thread_us();
        self.nodes[node].handle(now, event, &mut actions);
        let elapsed_us = thread_us() - before_us;
        match is_request {
            true => self.figures.request_us += elapsed_us,
            false => self.figures.control_us += elapsed_us,
        }
        let wake = self.nodes[node].next_wake().map_or(u64::MAX, |at| at.get() * 1_000);
        self.wakes_us[node] = wake.max(self.now_us + 1_000);
        for action in actions.drain(..) {
            self.execute(node, action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, node: usize, action: EntryAction) {
        match action {
            EntryAction::SendPeer { address, message } => {
                let bytes = postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len() as u64);
                let sent = self.figures.sent.entry(MessageKind::of(&message)).or_default();
                sent.0 += 1;
                sent.1 += bytes + MESSAGE_OVERHEAD_BYTES;
                let Some(to) = self.by_address.get(&address).copied() else { return };
                let from = NodeName::new(node_name(node));
                self.schedule(DELAY_US, to, EntryEvent::Peer { from, message });
            }
            EntryAction::Store { call, request } => {
                self.figures.store_calls += 1;
                if let Some((node, call, reply)) = self.store.call(self.now_us, node, call, request)
                {
                    self.schedule(DELAY_US, node, EntryEvent::Store { call, reply });
                }
            }
            EntryAction::Poll { vm, .. } => {
                self.figures.polls += 1;
                let outcome =
                    healthy_report(&vm).map_or(PollOutcome::Failed, PollOutcome::Reported);
                self.schedule(DELAY_US, node, EntryEvent::Polled { vm, took_ms: 1, outcome });
            }
            EntryAction::ReadVmList => {
                self.figures.vm_list_reads += 1;
                let entries = self.vms.clone();
                self.schedule(DELAY_US, node, EntryEvent::VmList { entries });
            }
            EntryAction::Dispatch { ticket, attempt, .. } => {
                for (after_ms, event) in answer(ticket, attempt) {
                    self.schedule(DELAY_US + after_ms * 1_000, node, event);
                }
            }
            _ => {}
        }
    }

    fn schedule(&mut self, delay_us: u64, node: usize, event: EntryEvent) {
        self.order += 1;
        let (at_us, order) = (self.now_us + delay_us, self.order);
        self.scheduled.push(ScheduledEvent { at_us, order, node, event });
    }
}

fn node(size: &FleetSize, number: usize) -> EntryNode<FairPolicy> {
    let incarnation = Incarnation::new(NodeName::new(node_name(number)), Boot::new(1));
    let own_data_centre = data_centre(size, number);
    let mut settings =
        EntrySettings::new(incarnation, own_data_centre, address(20, number), address(30, number));
    settings.seeds = vec![address(30, 0), address(30, 1)];
    settings.vm_list_interval_ms = 5_000;
    settings.poll_interval_ms = size.poll_interval_ms;
    settings.report_life_ms = settings.report_life_ms.max(3 * size.poll_interval_ms);
    let policy = FairPolicy::new(FairSettings::new(number as u64));
    let mut seed = [7; 32];
    seed[..8].copy_from_slice(&(number as u64).to_le_bytes());
    EntryNode::new(settings, policy, seed)
}

/// Serializes a value that always has a JSON form.
fn text<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn thread_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}
