use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use celeryhaven_node::{
    ControllerAction, ControllerEvent, ControllerNode, ControllerOptions, Machine, OperatorTicket,
    OrderOutcome, PollOutcome,
};
use celeryhaven_types::store::{StoreCallId, StoreReply, StoreRequest};
use celeryhaven_types::{
    Boot, ChangeRecord, Config, DataCentreName, DomainName, DomainPlacement, FencingMode,
    Generation, Incarnation, Intent, MemberReport, NodeName, OperatorName, OperatorReply,
    OperatorRequest, Order, OrderKind, PlanId, Replica, ReplicaName, ReplicaPhase, TimeMs, VmEntry,
    VmName, VmPhase, VmRole,
};

use super::member::FakeMember;
use super::store::{FakeStore, StoreFault};

const STEP_MS: u64 = 50;
const STORE_MS: u64 = 5;
const LINK_MS: u64 = 2;
const POLL_TIMEOUT_MS: u64 = 400;
const STORE_TIMEOUT_MS: u64 = 1_500;
const UNIX_START_MS: u64 = 1_700_000_000_000;
/// Delay until every entry has received a changed placement, in milliseconds.
const SPREAD_MS: u64 = 2_500;
const LIST_LAG_MS: u64 = 3_000;

/// Where a process is paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pause {
    /// It is running.
    None,
    /// Before the driver checks the deadline of an order: actions and events wait.
    BeforeCheck,
    /// While sending: deadlines have been checked, and orders are sent late.
    InsideWrite,
}

/// The action after whose decision a holder is paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrapAction {
    /// An order to a member to join.
    Join,
    /// A write of a placement.
    Placement,
}

impl TrapAction {
    fn is(self, action: &ControllerAction) -> bool {
        match action {
            ControllerAction::Order { order, .. } => {
                self == Self::Join && matches!(order.kind, OrderKind::Join { .. })
            }
            ControllerAction::Store { request: StoreRequest::Update { key, .. }, .. } => {
                self == Self::Placement && key.as_str().starts_with("placement/")
            }
            _ => false,
        }
    }
}

/// Pauses a node right after it has decided on an action.
#[derive(Clone, Copy, Debug)]
pub struct Trap {
    pub node: usize,
    pub action: TrapAction,
    pub pause: Pause,
    pub clock_stops: bool,
}

struct NodeProcess {
    boot: Boot,
    node: ControllerNode,
    pause: Pause,
    pending_actions: Vec<ControllerAction>,
    pending_events: Vec<ControllerEvent>,
    stopped_at: Option<TimeMs>,
    /// How far its clock is behind because it stopped during pauses, in milliseconds.
    behind_ms: u64,
    clock_stops: bool,
    alive: bool,
}

enum Delivery {
    Event { node: usize, boot: Boot, event: ControllerEvent },
    Store { node: usize, boot: Boot, call: StoreCallId, request: StoreRequest },
    Poll { node: usize, boot: Boot, vm: VmName, sent_at: TimeMs },
    Order { node: usize, boot: Boot, vm: VmName, order: Order },
}

/// A simulated fleet on one virtual clock.
pub struct World {
    pub now: TimeMs,
    pub store: FakeStore,
    /// Returns the fault of each call.
    pub fault: Box<dyn FnMut(&StoreRequest) -> StoreFault>,
    /// Returns the additional transit time of an order, in milliseconds.
    pub order_delay: Box<dyn FnMut(&Order) -> u64>,
    pub members: BTreeMap<VmName, FakeMember>,
    pub list: Vec<VmEntry>,
    pub answers: BTreeMap<u64, OperatorReply>,
    /// Whether fake entries send requests to whole replicas.
    pub load: bool,
    /// The next pause.
    pub trap: Option<Trap>,
    /// Longest time for which a VM reported another replica than the serving one that it is placed
    /// in, in milliseconds.
    pub mismatch_ms_max: u64,
    pub options: ControllerOptions,
    nodes: Vec<NodeProcess>,
    queue: BTreeMap<(TimeMs, u64), Delivery>,
    sequence: u64,
    boots: u64,
    list_history: Vec<(TimeMs, Vec<VmEntry>)>,
    placement_history: Vec<(TimeMs, Vec<Replica>)>,
    mismatch_since: BTreeMap<VmName, TimeMs>,
    tickets: u64,
    to_confirm: Vec<(u64, usize)>,
    /// Every formation that was ever stored.
    formations: BTreeSet<(ReplicaName, Generation)>,
}

impl World {
    /// Creates `domains` fabric domains, each with `vms` VMs in a data centre of its own.
    pub fn new(controllers: usize, domains: usize, vms: usize, fencing: FencingMode) -> Self {
        let options = ControllerOptions::default().with_store_timeout_ms(STORE_TIMEOUT_MS);
        Self::with_options(controllers, domains, vms, fencing, options)
    }

    pub fn with_options(
        controllers: usize,
        domains: usize,
        vms: usize,
        fencing: FencingMode,
        options: ControllerOptions,
    ) -> Self {
        let mut members = BTreeMap::new();
        let mut list = Vec::new();
        for domain in 0..domains {
            for number in 0..vms {
                let vm = VmName::new(format!("vm-{domain}-{number:02}"));
                let port = 10_000 + domain * 100 + number;
                let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
                list.push(VmEntry {
                    vm: vm.clone(),
                    role: VmRole::Engine,
                    address,
                    data_centre: DataCentreName::new(format!("dc-{domain}")),
                    domain: Some(DomainName::new(format!("f{domain}"))),
                    accelerators: 4,
                    phase: VmPhase::Live,
                });
                members.insert(vm.clone(), FakeMember::new(vm, address, fencing, 5_000));
            }
        }
        for node in 0..controllers {
            list.push(VmEntry {
                vm: VmName::new(format!("entry-{node}")),
                role: VmRole::Entry,
                address: SocketAddr::from(([127, 0, 0, 1], 9_000 + node as u16)),
                data_centre: DataCentreName::new(format!("dc-{}", node % domains.max(1))),
                domain: None,
                accelerators: 0,
                phase: VmPhase::Live,
            });
        }
        let mut world = Self {
            now: TimeMs::new(1_000),
            store: FakeStore::default(),
            fault: Box::new(|_| StoreFault::None),
            order_delay: Box::new(|_| 0),
            members,
            list,
            answers: BTreeMap::new(),
            load: false,
            trap: None,
            mismatch_ms_max: 0,
            options,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            boots: 0,
            list_history: Vec::new(),
            placement_history: Vec::new(),
            mismatch_since: BTreeMap::new(),
            tickets: 0,
            to_confirm: Vec::new(),
            formations: BTreeSet::new(),
        };
        for number in 0..controllers {
            let process = world.start(number);
            world.nodes.push(process);
        }
        world
    }

    fn start(&mut self, number: usize) -> NodeProcess {
        self.boots += 1;
        let me = Incarnation::new(NodeName::new(format!("entry-{number}")), Boot::new(self.boots));
        let domains = self.members.keys().filter_map(|vm| vm.as_str().split('-').nth(1)).max();
        let domains = domains.and_then(|last| last.parse::<usize>().ok()).map_or(1, |n| n + 1);
        let data_centre = DataCentreName::new(format!("dc-{}", number % domains));
        NodeProcess {
            boot: me.boot,
            node: ControllerNode::new(me, data_centre, self.options, self.boots * 7_919),
            pause: Pause::None,
            pending_actions: Vec::new(),
            pending_events: Vec::new(),
            stopped_at: None,
            behind_ms: 0,
            clock_stops: false,
            alive: true,
        }
    }

    /// Returns the boot of a process; a restarted process must not receive its predecessor's
    /// replies.
    fn boot(&self, node: usize) -> Boot {
        self.nodes[node].boot
    }
}

/// Operations of tests.
impl World {
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
    }

    pub fn restart(&mut self, node: usize) {
        self.nodes[node] = self.start(node);
    }

    pub fn leave(&mut self, node: usize) {
        self.deliver_event(node, ControllerEvent::Leave);
    }

    pub fn pause(&mut self, node: usize, pause: Pause, clock_stops: bool) {
        let now = self.now;
        let process = &mut self.nodes[node];
        process.pause = pause;
        process.stopped_at = Some(now);
        process.clock_stops = clock_stops;
    }

    pub fn resume(&mut self, node: usize) {
        let now = self.now;
        let process = &mut self.nodes[node];
        let pause = std::mem::replace(&mut process.pause, Pause::None);
        if let Some(at) = process.stopped_at.take().filter(|_| process.clock_stops) {
            process.behind_ms += now.since(at);
        }
        let actions = std::mem::take(&mut process.pending_actions);
        let events = std::mem::take(&mut process.pending_events);
        for action in actions {
            self.execute(node, action, pause == Pause::InsideWrite);
        }
        for event in events {
            self.deliver_event(node, event);
        }
    }

    pub fn ask(&mut self, node: usize, operator: &str, request: OperatorRequest) -> u64 {
        self.tickets += 1;
        let event = ControllerEvent::Operator {
            ticket: OperatorTicket::new(self.tickets),
            operator: OperatorName::new(operator),
            request,
            at_unix_ms: UNIX_START_MS + self.now.get(),
        };
        self.deliver_event(node, event);
        self.tickets
    }

    pub fn wait_for(&mut self, ticket: u64) -> OperatorReply {
        self.run_until("an answer", |world| world.answers.contains_key(&ticket));
        self.answers.remove(&ticket).expect("answered")
    }

    pub fn plan(&mut self, node: usize, intent: &Intent) -> PlanId {
        let ticket = self.ask(node, "anna", OperatorRequest::Plan { intent: intent.clone() });
        match self.wait_for(ticket) {
            OperatorReply::Planned(plan) => plan.id,
            other => panic!("no plan: {other:?}"),
        }
    }

    pub fn confirm(&mut self, node: usize, operator: &str, plan: &PlanId) -> OperatorReply {
        let request = OperatorRequest::Confirm { plan: plan.clone(), without: Vec::new() };
        let ticket = self.ask(node, operator, request);
        self.wait_for(ticket)
    }

    /// Requests a plan and confirms it when it arrives, without waiting.
    pub fn ask_and_confirm(&mut self, node: usize, request: OperatorRequest) {
        let ticket = self.ask(node, "anna", request);
        self.to_confirm.push((ticket, node));
    }

    fn confirm_answered(&mut self) {
        for (ticket, node) in std::mem::take(&mut self.to_confirm) {
            match self.answers.remove(&ticket) {
                Some(OperatorReply::Planned(plan)) => {
                    let without = Vec::new();
                    self.ask(node, "anna", OperatorRequest::Confirm { plan: plan.id, without });
                }
                Some(_) => {}
                None => self.to_confirm.push((ticket, node)),
            }
        }
    }

    /// Plans and confirms a change; returns its record.
    pub fn declare(&mut self, node: usize, intent: &Intent) -> ChangeRecord {
        let plan = self.plan(node, intent);
        match self.confirm(node, "anna", &plan) {
            OperatorReply::Accepted(record) => record,
            other => panic!("not accepted: {other:?}"),
        }
    }

    pub fn set_phase(&mut self, vm: &VmName, phase: VmPhase) {
        let entry = self.list.iter_mut().find(|entry| entry.vm == *vm);
        entry.expect("listed").phase = phase;
    }
}

/// Queries of tests.
impl World {
    pub fn config(&self) -> Option<Config> {
        self.store.get("config/current").map(|o| serde_json::from_str(&o.value).expect("valid"))
    }

    pub fn placements(&self) -> Vec<DomainPlacement> {
        let objects = self.store.under("placement/");
        objects.iter().map(|o| serde_json::from_str(&o.value).expect("valid")).collect()
    }

    pub fn replicas(&self) -> Vec<Replica> {
        self.placements().into_iter().flat_map(|placement| placement.replicas).collect()
    }

    /// Whether the replica is serving by the placement and its members report one formation.
    pub fn is_whole(&self, replica: &Replica) -> bool {
        let members = || replica.vms.iter().map(|vm| &self.members[vm]);
        let boots: Vec<Boot> = members().map(|member| member.boot).collect();
        replica.phase == ReplicaPhase::Serving
            && members().all(|member| {
                member.is_ready_in(replica.name.as_str(), replica.generation.get())
                    && member.formation.as_ref().is_some_and(|f| f.member_boots == boots)
            })
    }

    pub fn is_paused(&self, node: usize) -> bool {
        self.nodes[node].pause != Pause::None
    }

    pub fn is_alive(&self, node: usize) -> bool {
        self.nodes[node].alive
    }

    pub fn controllers(&self) -> usize {
        self.nodes.len()
    }

    /// Checks that accepted configurations are numbered without gaps and that each has its audit
    /// record.
    pub fn check_history(&self) {
        let configs = self.store.configs.iter();
        let configs: Vec<Config> =
            configs.map(|text| serde_json::from_str(text).expect("valid")).collect();
        for (at, config) in configs.iter().enumerate() {
            assert_eq!(
                config.number.get(),
                at as u64 + 1,
                "a configuration number is missing or duplicated"
            );
            assert_eq!(config.change.number, config.number);
            assert_eq!(config.change.from_number.get(), at as u64);
        }
        for config in configs.iter().rev().skip(1) {
            let record = self.store.get(&format!("audit/{}", config.number)).expect("a record");
            let record: ChangeRecord = serde_json::from_str(&record.value).expect("valid");
            assert_eq!(record, config.change);
        }
    }

    pub fn serving(&self) -> usize {
        self.replicas().iter().filter(|replica| self.is_whole(replica)).count()
    }

    pub fn holder_of(&self, domain: &str) -> Option<usize> {
        self.nodes.iter().position(|process| {
            let held = process.node.held_domains(self.now);
            process.alive && held.iter().any(|(name, _)| name.as_str() == domain)
        })
    }

    pub fn interrupted(&self) -> u32 {
        self.members.values().map(|member| member.interrupted).sum()
    }

    pub fn running(&self) -> usize {
        self.members.values().map(|member| member.running.len()).sum()
    }
}

/// Virtual time.
impl World {
    pub fn run_ms(&mut self, span_ms: u64) {
        let until = self.now.after(span_ms);
        while self.now < until {
            self.step();
        }
    }

    pub fn run_until(&mut self, what: &str, mut condition: impl FnMut(&Self) -> bool) -> u64 {
        let from = self.now;
        while !condition(self) {
            self.step();
            assert!(
                self.now.since(from) < 600_000,
                "timed out waiting for: {what}; placements {:#?}",
                self.placements()
            );
        }
        self.now.since(from)
    }

    pub fn step(&mut self) {
        let until = self.now.after(STEP_MS);
        while let Some((&key, _)) = self.queue.iter().next().filter(|(key, _)| key.0 <= until) {
            let delivery = self.queue.remove(&key).expect("first");
            self.now = self.now.max(key.0);
            self.deliver(delivery);
        }
        self.now = until;
        self.list_history.push((self.now, self.list.clone()));
        self.list_history.retain(|(at, _)| until.since(*at) <= 2 * LIST_LAG_MS);
        let now = self.now;
        self.members.values_mut().for_each(|member| member.tick(now));
        self.complete_formations();
        for node in 0..self.nodes.len() {
            let process = &self.nodes[node];
            let local_now = self.local_now(node);
            if process.pause == Pause::None
                && process.node.next_wake().is_some_and(|at| at <= local_now)
            {
                self.deliver_event(node, ControllerEvent::Tick);
            }
        }
        self.confirm_answered();
        self.send_load();
        self.check();
    }

    fn local_now(&self, node: usize) -> TimeMs {
        TimeMs::new(self.now.get() - self.nodes[node].behind_ms)
    }

    fn schedule(&mut self, after_ms: u64, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((self.now.after(after_ms), self.sequence), delivery);
    }

    fn event(&mut self, node: usize, after_ms: u64, event: ControllerEvent) {
        let boot = self.boot(node);
        self.schedule(after_ms, Delivery::Event { node, boot, event });
    }

    fn deliver_event(&mut self, node: usize, event: ControllerEvent) {
        let local_now = self.local_now(node);
        let process = &mut self.nodes[node];
        if !process.alive {
            return;
        }
        if process.pause != Pause::None {
            process.pending_events.push(event);
            return;
        }
        let mut actions = Vec::new();
        process.node.handle(local_now, event, &mut actions);
        let trap = self.trap.filter(|trap| trap.node == node);
        if let Some(trap) = trap.filter(|trap| actions.iter().any(|a| trap.action.is(a))) {
            self.trap = None;
            self.nodes[node].pending_actions = actions;
            self.pause(node, trap.pause, trap.clock_stops);
            return;
        }
        for action in actions {
            self.execute(node, action, false);
        }
    }

    fn execute(&mut self, node: usize, action: ControllerAction, is_checked: bool) {
        if !self.nodes[node].alive {
            return;
        }
        let boot = self.boot(node);
        match action {
            ControllerAction::Store { call, request } => {
                self.schedule(STORE_MS, Delivery::Store { node, boot, call, request });
            }
            ControllerAction::ReadVmList => {
                let now = self.now;
                let old = self.list_history.iter().rev();
                let old = old.clone().find(|(at, _)| now.since(*at) >= LIST_LAG_MS);
                let entries = old.map_or_else(|| self.list.clone(), |(_, list)| list.clone());
                self.event(node, LINK_MS, ControllerEvent::VmList { entries });
            }
            ControllerAction::Poll { vm, .. } => {
                let sent_at = self.now;
                self.schedule(LINK_MS, Delivery::Poll { node, boot, vm, sent_at });
            }
            ControllerAction::Order { vm, order, send_before, .. } => {
                if !is_checked && self.local_now(node) >= send_before {
                    let (order_id, outcome) = (order.order_id, OrderOutcome::NotSent);
                    self.event(node, 0, ControllerEvent::Ordered { vm, order_id, outcome });
                } else {
                    let delay_ms = LINK_MS + (self.order_delay)(&order);
                    self.schedule(delay_ms, Delivery::Order { node, boot, vm, order });
                }
            }
            ControllerAction::Answer { ticket, reply } => {
                self.answers.insert(ticket.get(), reply);
            }
            ControllerAction::Left => self.nodes[node].alive = false,
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event { node, boot, event } => {
                if self.boot(node) == boot {
                    self.deliver_event(node, event);
                }
            }
            Delivery::Store { node, boot, call, request } => {
                let fault = (self.fault)(&request);
                let (after_ms, reply) = match self.store.call(&request, fault) {
                    Some(reply) => (STORE_MS, reply),
                    None => (STORE_TIMEOUT_MS, StoreReply::Unknown),
                };
                let event = ControllerEvent::Store { call, reply };
                self.schedule(after_ms, Delivery::Event { node, boot, event });
            }
            Delivery::Poll { node, boot, vm, sent_at } => {
                let report: Option<MemberReport> =
                    self.members.get(&vm).filter(|m| m.alive).map(|m| m.report(self.now));
                let after_ms = if report.is_some() { LINK_MS } else { POLL_TIMEOUT_MS };
                let outcome = report.map_or(PollOutcome::Failed, PollOutcome::Reported);
                let took_ms = self.now.since(sent_at) + after_ms;
                let event = ControllerEvent::Polled { vm, took_ms, outcome };
                self.schedule(after_ms, Delivery::Event { node, boot, event });
            }
            Delivery::Order { node, boot, vm, order } => {
                let now = self.now;
                let member = self.members.get_mut(&vm).filter(|member| member.alive);
                let outcome = member.map_or(OrderOutcome::Unknown, |m| m.order(now, &order));
                let event = ControllerEvent::Ordered { vm, order_id: order.order_id, outcome };
                self.schedule(LINK_MS, Delivery::Event { node, boot, event });
            }
        }
    }

    /// Completes formations whose members have all loaded.
    fn complete_formations(&mut self) {
        let now = self.now;
        let by_address: BTreeMap<SocketAddr, VmName> =
            self.members.values().map(|m| (m.address, m.vm.clone())).collect();
        let waiting: Vec<VmName> = self
            .members
            .values()
            .filter(|m| m.alive && m.formation.as_ref().is_some_and(|f| !f.ready))
            .map(|m| m.vm.clone())
            .collect();
        for vm in waiting {
            let member = &self.members[&vm];
            let formation = member.formation.clone().expect("waiting");
            let others: Vec<VmName> =
                member.members.iter().filter_map(|a| by_address.get(a).cloned()).collect();
            let all_there = others.iter().all(|other| {
                let other = &self.members[other];
                let same = other.formation.as_ref().is_some_and(|f| {
                    f.replica == formation.replica && f.generation == formation.generation
                });
                other.alive && same && other.has_loaded(now)
            });
            if all_there {
                let boots = others.iter().map(|other| self.members[other].boot).collect();
                let formation = self.members.get_mut(&vm).and_then(|m| m.formation.as_mut());
                let formation = formation.expect("waiting");
                formation.member_boots = boots;
                formation.ready = true;
            }
        }
    }

    /// Sends each whole replica a request periodically, by a placement that is received with a
    /// delay.
    fn send_load(&mut self) {
        let replicas = self.replicas();
        self.placement_history.push((self.now, replicas));
        let now = self.now;
        self.placement_history.retain(|(at, _)| now.since(*at) <= SPREAD_MS + STEP_MS);
        if !self.load || !now.get().is_multiple_of(250) {
            return;
        }
        let Some((_, known)) = self.placement_history.first().cloned() else { return };
        for replica in known {
            if !self.is_whole_by_members(&replica) {
                continue;
            }
            let member = self.members.get_mut(&replica.vms[0]).expect("known");
            // A draining engine refuses the request, and the entry sends it elsewhere.
            if !member.is_draining && member.running.len() < 8 {
                let length_ms = 1_000 + (now.get() * 7_919) % 9_000;
                member.running.push(now.after(length_ms));
            }
        }
    }

    fn is_whole_by_members(&self, replica: &Replica) -> bool {
        let serving = Replica { phase: ReplicaPhase::Serving, ..replica.clone() };
        replica.phase == ReplicaPhase::Serving && self.is_whole(&serving)
    }

    /// Checks that members join only formations that were stored.
    fn check_formations(&mut self) {
        let formations = self.replicas().into_iter().map(|r| (r.name, r.generation));
        self.formations.extend(formations);
        for member in self.members.values() {
            let Some(formation) = &member.formation else { continue };
            let joined = (formation.replica.clone(), formation.generation);
            let vm = &member.vm;
            assert!(
                self.formations.contains(&joined),
                "{vm} joined {joined:?}, which was never stored"
            );
        }
    }

    /// Checks the invariants.
    fn check(&mut self) {
        let mut seen = BTreeMap::new();
        for placement in self.placements() {
            let placed =
                placement.replicas.iter().flat_map(|r| r.vms.iter().map(|vm| (vm, &r.name)));
            let releasing = placement.releasing.iter().map(|r| (&r.vm, &r.replica));
            for (vm, replica) in placed.chain(releasing) {
                let before = seen.insert(vm.clone(), replica.clone());
                assert!(before.is_none(), "{vm} is in {before:?} and {replica} at {}", self.now);
            }
        }
        self.check_formations();
        let mut mismatched = Vec::new();
        for replica in self.replicas().iter().filter(|r| r.phase == ReplicaPhase::Serving) {
            for vm in &replica.vms {
                let formation = self.members[vm].formation.as_ref();
                if formation.is_some_and(|f| f.replica != replica.name) {
                    mismatched.push(vm.clone());
                }
            }
        }
        self.mismatch_since.retain(|vm, _| mismatched.contains(vm));
        for vm in mismatched {
            let since = *self.mismatch_since.entry(vm).or_insert(self.now);
            self.mismatch_ms_max = self.mismatch_ms_max.max(self.now.since(since));
        }
    }
}
