use std::net::SocketAddr;

use celeryhaven_node::{
    EntryEvent, EntryNode, EntrySettings, KeyUse, Machine, PeerEntry, PeerMessage,
};
use celeryhaven_policy::Ticket;
use celeryhaven_types::store::{ObjectVersion, StoreCallId, StoreReply, StoreRequest};
use celeryhaven_types::{Boot, DataCentreName, Incarnation, NodeName, RequestHead, TimeMs};
use rand::Rng;

use super::driver::{FakeProcess, Origin, RequestState};
use super::events::{Event, Outcome, Process};
use super::policy::TestPolicy;
use super::setup::{DATA_CENTRE, entry_address, peer_address};
use super::store::Waiter;
use super::world::World;

const STORE_TIMEOUT_MS: u64 = 300;

impl World {
    /// Starts a process with a new boot on an entry VM.
    pub fn start_entry(&mut self, entry: usize) {
        self.last_boot += 1;
        let boot = Boot::new(self.last_boot);
        let place = DataCentreName::new(DATA_CENTRE);
        let incarnation = Incarnation::new(node_name(entry), boot);
        let others = (0..self.entries.len()).filter(|other| *other != entry);
        let peers = others.map(|other| PeerEntry {
            node: node_name(other),
            boot: None,
            data_centre: place.clone(),
            peer_address: peer_address(other),
        });
        let peers = peers.collect();
        let settings =
            EntrySettings::new(incarnation, place, entry_address(entry), peer_address(entry))
                .with_peers(peers);
        let policy = TestPolicy::new(self.behaviour, boot.get());
        let mut seed = [0; 32];
        self.rng.fill(&mut seed);
        self.entries[entry] = Some(FakeProcess {
            node: EntryNode::new(settings, policy, seed),
            boot,
            paused_until: 0,
            deferred: Vec::new(),
            next_ticket: 1,
            tickets: std::collections::BTreeMap::new(),
            cached: std::collections::BTreeMap::new(),
            has_left: false,
        });
        self.schedule(0, Event::Wake(Process { entry, boot }));
    }

    /// Kills a process; connections of its callers and peers fail.
    pub fn kill_entry(&mut self, entry: usize) {
        let Some(dead) = self.entries[entry].take() else { return };
        for state in dead.tickets.into_values().filter(|state| !state.finished) {
            match state.origin {
                Origin::Call(call) => self.cut_off(call),
                Origin::Peer(to, ticket) => {
                    let lost = Event::DelegatedCompletes { to, ticket, outcome: None };
                    self.schedule(1, lost);
                }
                Origin::Disconnected => {}
            }
        }
    }

    /// Whether a process of this entry is running.
    pub fn is_running(&self, entry: usize) -> bool {
        self.entries[entry].is_some()
    }

    /// Returns the addresses that this entry returns to callers.
    pub fn addresses_from(&mut self, entry: usize) -> Vec<SocketAddr> {
        let fake = self.entries[entry].as_mut();
        fake.map(|fake| fake.node.addresses(None).addresses).unwrap_or_default()
    }

    pub fn process(&mut self, process: Process) -> Option<&mut FakeProcess> {
        let fake = self.entries.get_mut(process.entry)?.as_mut();
        fake.filter(|fake| fake.boot == process.boot)
    }

    pub fn request_state(&mut self, process: Process, ticket: Ticket) -> Option<&mut RequestState> {
        self.process(process)?.tickets.get_mut(&ticket)
    }

    /// Passes an event to a node and executes its actions.
    pub fn deliver(&mut self, process: Process, event: EntryEvent) {
        let now = TimeMs::new(self.now);
        let Some(fake) = self.process(process) else { return };
        let mut out = Vec::new();
        fake.node.handle(now, event, &mut out);
        let wake = fake.node.next_wake();
        for action in out {
            self.execute_action(process, action);
        }
        if let Some(wake) = wake {
            let delay_ms = wake.get().saturating_sub(self.now).max(1);
            self.schedule_wake(process, self.now + delay_ms);
        }
    }

    /// Passes a request from a caller or a peer to an entry.
    pub fn arrive(
        &mut self,
        entry: usize,
        origin: Origin,
        head: RequestHead,
        key: Option<String>,
    ) -> Option<Ticket> {
        let now = self.now;
        let (operation, pieces) = self.operation_of(&head);
        let fake = self.entries[entry].as_mut()?;
        let process = Process { entry, boot: fake.boot };
        let ticket = Ticket::new(fake.next_ticket);
        fake.next_ticket += 1;
        let state = RequestState {
            origin,
            operation,
            pieces,
            head: head.clone(),
            key: key.clone(),
            deadline_at: now + head.deadline_in_ms,
            delivered: Vec::new(),
            attempt: None,
            finished: false,
        };
        fake.tickets.insert(ticket, state);
        let key = key.map_or(KeyUse::None, KeyUse::Presented);
        let delegated = matches!(origin, Origin::Peer(..));
        let event = EntryEvent::Arrived { ticket, head, key, delegated };
        self.schedule(0, Event::ToEntry(process, event));
        Some(ticket)
    }

    /// Delegates a request to another entry.
    pub fn send_delegated(&mut self, from: Process, ticket: Ticket, address: SocketAddr) {
        let to = (0..self.entries.len()).find(|entry| peer_address(*entry) == address);
        let now = self.now;
        let Some(state) = self.request_state(from, ticket) else { return };
        let mut head = state.head.clone();
        head.deadline_in_ms = state.deadline_at.saturating_sub(now);
        let key = state.key.clone().unwrap_or_default();
        match to.filter(|to| !self.are_entries_cut(from.entry, *to)) {
            Some(to) => self.schedule(1, Event::DelegatedArrives { from, ticket, to, head, key }),
            None => {
                let lost = Event::DelegatedCompletes { to: from, ticket, outcome: None };
                self.schedule(200, lost);
            }
        }
    }

    /// Sends a message to another entry: 1 % are lost, 3 % are late.
    pub fn send_peer(&mut self, from: Process, address: SocketAddr, message: PeerMessage) {
        self.peer_messages += 1;
        let to = (0..self.entries.len()).find(|entry| peer_address(*entry) == address);
        let Some(to) = to.filter(|to| !self.are_entries_cut(from.entry, *to)) else { return };
        let Some(fake) = self.entries[to].as_ref() else { return };
        let process = Process { entry: to, boot: fake.boot };
        let is_answer = matches!(message, PeerMessage::Observations { .. });
        let is_late = is_answer && self.rng.random_range(0..1_000) < self.late_observations;
        let delay_ms = match self.rng.random_range(0..100) {
            _ if is_late => self.rng.random_range(100..1_000),
            0 => return,
            1..=3 => self.rng.random_range(100..3_000),
            _ => 1,
        };
        let event = EntryEvent::Peer { from: node_name(from.entry), message };
        self.schedule(delay_ms, Event::ToEntry(process, event));
    }

    pub fn delegated_arrives(
        &mut self,
        from: Process,
        ticket: Ticket,
        to: usize,
        head: RequestHead,
        key: String,
    ) {
        if self.arrive(to, Origin::Peer(from, ticket), head, Some(key)).is_none() {
            let lost = Event::DelegatedCompletes { to: from, ticket, outcome: None };
            self.schedule(100, lost);
        }
    }

    pub fn delegated_completes(&mut self, to: Process, ticket: Ticket, outcome: Option<Outcome>) {
        let Some(state) = self.request_state(to, ticket) else { return };
        if state.finished {
            return;
        }
        let answered = outcome.is_some();
        if let Some(outcome) = outcome {
            self.finish(to, ticket, outcome);
        }
        self.schedule(0, Event::ToEntry(to, EntryEvent::DelegationCompleted { ticket, answered }));
    }

    /// Sends a call to the Object API; during an outage one write in three is still executed, late.
    pub fn send_store(&mut self, process: Process, call: StoreCallId, request: StoreRequest) {
        let is_down = self.store.down_until > self.now;
        let is_lost = self.rng.random_range(0..1_000) < self.store_answers_lost;
        let answer = !is_down && !is_lost;
        if !answer {
            let reply = StoreReply::Unknown;
            self.schedule(STORE_TIMEOUT_MS, Event::StoreReply { process, call, reply });
        }
        let is_watch = matches!(request, StoreRequest::Watch { .. } | StoreRequest::List { .. });
        if answer || (!is_watch && (!is_down || self.rng.random_range(0..3) == 0)) {
            let late_ms = if answer { 2 } else { self.rng.random_range(1..2_000) };
            self.schedule(late_ms, Event::StoreArrive { process, call, request, answer });
        }
    }

    pub fn store_arrive(
        &mut self,
        process: Process,
        call: StoreCallId,
        request: &StoreRequest,
        answer: bool,
    ) {
        let reply = self.stale_list(request).or_else(|| self.store.apply(request));
        self.wake_watches();
        match (reply, request) {
            (Some(reply), _) if answer => {
                self.schedule(1, Event::StoreReply { process, call, reply });
            }
            (None, StoreRequest::Watch { prefix, from, wait_ms }) => {
                let prefix = prefix.as_str().to_owned();
                self.store.waiters.push(Waiter { process, call, prefix, from: *from });
                self.schedule(*wait_ms, Event::WatchEnd { process, call });
            }
            _ => {}
        }
    }

    /// Returns an outdated list at the configured rate.
    fn stale_list(&mut self, request: &StoreRequest) -> Option<StoreReply> {
        let StoreRequest::List { prefix } = request else { return None };
        let is_stale = self.rng.random_range(0..1_000) < self.stale_lists;
        let behind = self.rng.random_range(1..150);
        let version = self.store.version().saturating_sub(behind).max(2);
        is_stale.then(|| self.store.list_at(prefix, ObjectVersion::new(version)))
    }

    /// Returns the boot of an entry and the number of its configuration in force.
    pub fn config_number(&self, entry: usize) -> Option<(Boot, u64)> {
        let fake = self.entries[entry].as_ref()?;
        Some((fake.boot, fake.node.config_number()?.get()))
    }

    /// Returns the boot of an entry and the generation of a replica at this entry.
    pub fn generation(&self, entry: usize, replica: &str) -> Option<(Boot, u64)> {
        let fake = self.entries[entry].as_ref()?;
        let replicas = fake.node.status(TimeMs::new(self.now)).replicas;
        let known = replicas.iter().find(|known| known.replica.as_str() == replica)?;
        Some((fake.boot, known.generation.get()))
    }

    /// Completes a watch that has timed out.
    pub fn watch_end(&mut self, process: Process, call: StoreCallId) {
        if self.store.take_waiter(process, call).is_some() {
            let reply = self.store.no_changes();
            self.schedule(1, Event::StoreReply { process, call, reply });
        }
    }

    /// Answers the watches that a write completed.
    pub fn wake_watches(&mut self) {
        for (waiter, reply) in self.store.take_completed() {
            let Waiter { process, call, .. } = waiter;
            self.schedule(1, Event::StoreReply { process, call, reply });
        }
    }
}

pub fn node_name(entry: usize) -> NodeName {
    NodeName::new(format!("entry-{entry}"))
}
