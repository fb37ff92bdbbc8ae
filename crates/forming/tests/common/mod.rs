//! Simulation of a fabric domain of fake targets in virtual time, with its coordinators.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod fake_target;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use celeryhaven_fleet::{
    AnswerRun, EngineProfile, FleetView, MemberState, Membership, OrderOutcome, ReplicaKey,
    TargetOrder,
};
use celeryhaven_forming::{
    DomainPlanner, DomainRecord, FormingAction, FormingEvent, FormingSettings, FormingView,
    ListedDomain, PlannerId, Reachability,
};
use celeryhaven_load_quota::{GrantId, GrantedLoads, LoadOutcome};
use celeryhaven_types::{
    DataCentreName, DomainName, Generation, ModelName, NodeName, ReplicaName, ServiceName, TimeMs,
    VmName,
};

use fake_target::{FakeTarget, SERVICE, profile};

/// Duration of one step.
pub const STEP_MS: u64 = 100;

/// Time in which a granted load must be ordered.
const GRANT_MS: u64 = 500;

/// Number of past target lists kept for lagging coordinators.
const HISTORY_LEN: usize = 200;

/// The targets of one domain, the record in the store, and the coordinators.
pub struct Simulation {
    pub now: TimeMs,
    pub targets: BTreeMap<VmName, FakeTarget>,
    pub record: Option<(u64, DomainRecord)>,
    pub revision: u64,
    pub store_answers: bool,
    pub coordinators: Vec<DomainPlanner>,
    record_versions: Vec<Option<u64>>,
    /// The domain of each coordinator.
    domains: Vec<DomainName>,
    /// Records of the domains other than the first.
    other_records: BTreeMap<DomainName, Option<(u64, DomainRecord)>>,
    /// Age of the target list that each coordinator sees, in milliseconds.
    pub list_lag_ms: Vec<u64>,
    /// Past target lists, the oldest first.
    history: VecDeque<(TimeMs, FleetView, BTreeSet<ReplicaKey>)>,
    /// The engine profile given to the coordinators.
    pub profile: EngineProfile,
    pub traffic_seen: bool,
    /// Whether callers were ever served, independent of what a new coordinator knows.
    callers_served: bool,
    /// Violated invariants.
    pub violations: Vec<String>,
    /// Delay of orders, which are then unanswered and executed late.
    pub order_delay_ms: Option<u64>,
    delayed_orders: Vec<(TimeMs, VmName, TargetOrder)>,
    /// Targets to which the paths of the coordinators reset every connection.
    resetting: BTreeSet<VmName>,
    /// Targets whose process is stopped, with the orders that lie in their sockets.
    stopped: BTreeMap<VmName, Vec<TargetOrder>>,
    pub refuses_stage: BTreeSet<VmName>,
    /// Whether coordinators are granted the loads that they need.
    pub grants_loads: bool,
    /// Number of loads that were granted.
    pub loads_granted: usize,
    /// What became of the orders of granted loads.
    pub load_outcomes: Vec<LoadOutcome>,
    unlisted: BTreeSet<VmName>,
    /// Targets that close the connection of each answer.
    leaving: BTreeSet<VmName>,
    /// Replicas that have been listed so far.
    recently_listed: BTreeSet<ReplicaKey>,
    /// Number of probes sent.
    pub probes: usize,
    /// When each target was probed.
    pub probed_at: BTreeMap<VmName, Vec<TimeMs>>,
    /// When each target was planned as a member, by confirmed writes of the record.
    pub planned_at: BTreeMap<VmName, Vec<TimeMs>>,
    /// Logged changes of replicas.
    pub changes: Vec<(TimeMs, ReplicaKey, &'static str)>,
    /// Targets that answer probes and reset every order.
    pub resets_orders: BTreeSet<VmName>,
    /// Whether writes of the record stay without an outcome until they are released.
    pub holds_writes: bool,
    held_writes: Vec<(usize, PlannerId, DomainRecord)>,
    /// Number of reads of the record.
    pub reads: usize,
    listed: FleetView,
    opened: BTreeMap<(ReplicaName, Generation), Vec<VmName>>,
}

impl Simulation {
    /// Creates a domain of empty targets with one coordinator.
    pub fn new(targets: usize) -> Self {
        let mut sim = Self {
            now: TimeMs::new(1_000),
            targets: BTreeMap::new(),
            record: None,
            revision: 10,
            store_answers: true,
            coordinators: Vec::new(),
            record_versions: Vec::new(),
            domains: Vec::new(),
            other_records: BTreeMap::new(),
            list_lag_ms: Vec::new(),
            history: VecDeque::new(),
            profile: profile(),
            traffic_seen: false,
            callers_served: false,
            violations: Vec::new(),
            order_delay_ms: None,
            delayed_orders: Vec::new(),
            resetting: BTreeSet::new(),
            stopped: BTreeMap::new(),
            refuses_stage: BTreeSet::new(),
            grants_loads: true,
            loads_granted: 0,
            load_outcomes: Vec::new(),
            unlisted: BTreeSet::new(),
            leaving: BTreeSet::new(),
            recently_listed: BTreeSet::new(),
            probes: 0,
            probed_at: BTreeMap::new(),
            planned_at: BTreeMap::new(),
            changes: Vec::new(),
            resets_orders: BTreeSet::new(),
            holds_writes: false,
            held_writes: Vec::new(),
            reads: 0,
            listed: FleetView::new(),
            opened: BTreeMap::new(),
        };
        (0..targets).for_each(|number| sim.add(number));
        sim.add_coordinator("entry-1");
        sim
    }

    /// Adds an empty target.
    pub fn add(&mut self, number: usize) {
        self.targets.insert(fake_target::name(number), FakeTarget::new(number));
    }

    pub fn add_coordinator(&mut self, node: &str) {
        self.add_coordinator_of("rack", node);
    }

    /// Adds a domain of empty targets with a coordinator.
    pub fn add_domain(&mut self, domain: &str, targets: std::ops::Range<usize>) {
        for number in targets {
            self.add(number);
            if let Some(fake) = self.targets.get_mut(&fake_target::name(number)) {
                fake.entry.domain = Some(DomainName::new(domain));
            }
        }
        self.add_coordinator_of(domain, "entry-1");
    }

    fn add_coordinator_of(&mut self, domain: &str, node: &str) {
        let settings = FormingSettings::default();
        let domain = DomainName::new(domain);
        self.domains.push(domain.clone());
        self.coordinators.push(DomainPlanner::new(self.now, domain, NodeName::new(node), settings));
        self.record_versions.push(None);
        self.list_lag_ms.push(0);
    }

    /// Adds a coordinator whose target list lags by `lag_ms`.
    pub fn add_lagging_coordinator(&mut self, node: &str, lag_ms: u64) {
        self.add_coordinator(node);
        self.list_lag_ms.pop();
        self.list_lag_ms.push(lag_ms);
    }

    /// Removes a coordinator and leaves its unfinished work as it is.
    pub fn remove_coordinator(&mut self, index: usize) {
        self.coordinators.remove(index);
        self.record_versions.remove(index);
        self.domains.remove(index);
        self.list_lag_ms.remove(index);
    }

    /// Stops a target. Its entry lapses seconds later.
    pub fn kill(&mut self, target: &VmName) {
        let until = self.now.after(3_000);
        if let Some(fake) = self.targets.get_mut(target) {
            fake.alive = false;
            fake.listed_until = Some(until);
        }
    }

    /// Lists a target again that continues to serve.
    pub fn list_again(&mut self, target: &VmName) {
        self.unlisted.remove(target);
    }

    /// Stops the process of a target, whose host goes on accepting connections.
    pub fn stop(&mut self, target: &VmName) {
        self.stopped.insert(target.clone(), Vec::new());
    }

    /// Sets whether the paths to a target reset every connection.
    pub fn set_resetting(&mut self, target: &VmName, is_resetting: bool) {
        match is_resetting {
            true => self.resetting.insert(target.clone()),
            false => self.resetting.remove(target),
        };
    }

    /// Lets a stopped target go on: it carries out the orders that lie in its socket, and returns them.
    pub fn resume(&mut self, target: &VmName) -> Vec<TargetOrder> {
        let orders = self.stopped.remove(target).unwrap_or_default();
        for order in &orders {
            self.apply(target, order);
        }
        orders
    }

    /// Removes a target from the list while it continues to serve.
    pub fn unlist(&mut self, target: &VmName) {
        self.unlisted.insert(target.clone());
    }

    /// Removes a target from the list that leaves without notice, and closes the connection of each
    /// answer.
    pub fn leave_unlisted(&mut self, target: &VmName) {
        self.unlist(target);
        self.leaving.insert(target.clone());
    }

    /// Replaces the coordinator by one on another node, without any removed entries in its list.
    pub fn replace_coordinator(&mut self, node: &str) {
        self.listed = FleetView::new();
        self.remove_coordinator(0);
        self.add_coordinator(node);
    }

    /// Writes the record as another coordinator would, with the same plans.
    pub fn write_by_other_coordinator(&mut self) {
        self.revision += 1;
        let revision = self.revision;
        self.record = self
            .record
            .take()
            .map(|(before, record)| (revision, record.with_version(Generation::new(before))));
    }

    /// Restarts a target under its name, without its former state.
    pub fn restart(&mut self, target: &VmName) {
        if let Some(fake) = self.targets.get_mut(target) {
            fake.entry.membership = None;
            fake.entry.model = None;
            fake.entry.started_at_ms = Some(self.now.get());
            fake.highest_generation = Generation::new(0);
        }
    }

    /// Lets a closing head finish its requests.
    pub fn finish_requests(&mut self, target: &VmName) {
        let fake = self.targets.get_mut(target);
        if let Some(member) = fake.and_then(|fake| fake.entry.membership.as_mut()) {
            member.state = MemberState::Ready;
        }
    }

    /// Returns the live heads that are closing.
    pub fn closing_heads(&self) -> Vec<VmName> {
        let closing = |fake: &&FakeTarget| {
            let member = fake.entry.membership.as_ref();
            fake.alive && member.is_some_and(|member| member.state == MemberState::Closing)
        };
        self.targets.values().filter(closing).map(|fake| fake.entry.name.clone()).collect()
    }

    /// Lets every closing head finish its requests.
    pub fn finish_all_requests(&mut self) {
        for head in self.closing_heads() {
            self.finish_requests(&head);
        }
    }

    /// Ends every target at once, whose entries are removed, and runs until they are gone.
    pub fn lose_data_centre(&mut self) {
        for fake in self.targets.values_mut() {
            fake.alive = false;
            fake.listed_until = Some(self.now);
        }
        self.run_ms(10_000);
    }

    /// Starts every target again, cold: in no replica, with the models staged that it had.
    pub fn return_data_centre(&mut self) {
        for fake in self.targets.values_mut() {
            let had = fake.entry.model.take();
            fake.entry.staged.extend(had);
            fake.entry.staged.dedup();
            fake.entry.membership = None;
            fake.entry.started_at_ms = Some(self.now.get());
            fake.highest_generation = Generation::new(0);
            (fake.ready_at, fake.open_at, fake.staging) = (None, None, None);
            (fake.alive, fake.listed_until) = (true, None);
        }
    }

    /// Replaces the coordinator by one that had listed the targets before they were lost, and lists
    /// their new processes from its start.
    pub fn replace_coordinators_at_return(&mut self, node: &str) {
        let starts = self.targets.values().filter_map(|fake| fake.entry.started_at_ms);
        let newest = starts.max().unwrap_or_default();
        self.return_data_centre();
        self.listed = FleetView::new();
        for domain in self.domains.clone() {
            self.remove_coordinator(0);
            self.add_coordinator_of(domain.as_str(), node);
        }
        for coordinator in &mut self.coordinators {
            *coordinator = coordinator.clone().with_earlier_start(newest);
        }
    }

    /// Lists a replica of another domain, which serves with as many members as its model needs.
    pub fn add_replica_elsewhere(&mut self, data_centre: &str, model: &str, first: usize) {
        let size = profile().model(&ModelName::new(model)).map_or(0, |model| model.size);
        for rank in 0..size {
            let mut fake = FakeTarget::new(first + rank);
            fake.entry.data_centre = DataCentreName::new(data_centre);
            fake.entry.domain = Some(DomainName::new(format!("rack-{data_centre}")));
            fake.entry.model = Some(ModelName::new(model));
            let state = if rank == 0 { MemberState::Open } else { MemberState::Ready };
            let (replica, generation) =
                (ReplicaName::new(format!("{data_centre}-{first}")), Generation::new(1));
            fake.entry.membership =
                Some(Membership { replica, generation, rank: rank as u32, state });
            self.targets.insert(fake.entry.name.clone(), fake);
        }
    }

    /// Evacuates a data centre.
    pub fn evacuate(&mut self, data_centre: &str) {
        self.listed.evacuations_mut().begin(self.now, DataCentreName::new(data_centre));
    }

    /// Returns the number of serving replicas of a model in the coordinators' domain.
    pub fn serving_here(&self, model: &str) -> usize {
        let view = self.fleet();
        let here = view.replicas().values().filter(|replica| {
            replica.domain == Some(DomainName::new("rack"))
                && replica.head_state == Some(MemberState::Open)
                && replica.model == Some(ModelName::new(model))
        });
        here.count()
    }

    /// Returns the shortest time between two events of the same target, in milliseconds.
    pub fn shortest_interval_ms(events: &BTreeMap<VmName, Vec<TimeMs>>) -> Option<u64> {
        let intervals = events.values().flat_map(|times| times.windows(2));
        intervals.map(|pair| pair[1].since(pair[0])).min()
    }

    /// Returns how often a change of a replica was logged.
    pub fn count_changes(&self, replica: &ReplicaKey, change: &str) -> usize {
        self.changes.iter().filter(|(_, key, logged)| key == replica && *logged == change).count()
    }

    /// Returns how many orders of a kind to a target are delayed.
    pub fn orders_delayed(&self, target: &VmName, kind: &str) -> usize {
        let delayed = self.delayed_orders.iter().filter(|(_, name, _)| name == target);
        delayed.filter(|(.., order)| order.as_str() == kind).count()
    }

    /// Returns the replica that a target is listed in.
    pub fn replica_of(&self, target: &VmName) -> Option<ReplicaKey> {
        let member = self.targets[target].entry.membership.clone()?;
        Some(ReplicaKey { replica: member.replica, generation: member.generation })
    }

    /// Runs for `span_ms`.
    pub fn run_ms(&mut self, span_ms: u64) {
        let end = self.now.after(span_ms);
        while self.now < end {
            self.step();
        }
    }

    /// Runs one step.
    pub fn step(&mut self) {
        self.now = self.now.after(STEP_MS);
        self.advance_targets();
        self.listed = self.fleet();
        self.recently_listed.extend(self.listed.replicas().keys().cloned());
        self.history.push_back((self.now, self.listed.clone(), self.recently_listed.clone()));
        if self.history.len() > HISTORY_LEN {
            self.history.pop_front();
        }
        self.execute_delayed_orders();
        for index in 0..self.coordinators.len() {
            let mut out = Vec::new();
            self.with_view(index, |planner, now, view| planner.step(now, view, &mut out));
            self.execute(index, out);
            if self.grants_loads {
                self.grant_loads(index);
            }
        }
        self.assert_no_violations();
    }

    /// Grants a coordinator the loads that it needs.
    pub fn grant_loads(&mut self, index: usize) {
        let needs = self.coordinators[index].loads_needed();
        let loads = needs.required + needs.optional;
        if loads == 0 {
            return;
        }
        let granted = GrantedLoads {
            grant: GrantId::new(format!("grant-{}", self.now.get())),
            domain: self.domains[index].clone(),
            loads,
            send_by: self.now.after(GRANT_MS),
        };
        self.loads_granted += loads as usize;
        self.handle(index, FormingEvent::LoadsGranted { granted });
    }

    /// Reports a stalled replica to every coordinator.
    pub fn suspect(&mut self, target: &VmName) {
        let Some(member) = self.targets[target].entry.membership.clone() else { return };
        let replica = ReplicaKey { replica: member.replica, generation: member.generation };
        for index in 0..self.coordinators.len() {
            self.handle(index, FormingEvent::Suspected { replica: replica.clone() });
        }
    }

    /// Returns the number of whole, serving replicas by model.
    pub fn serving(&self) -> BTreeMap<String, usize> {
        let view = self.fleet();
        let mut serving = BTreeMap::new();
        for replica in view.replicas().values() {
            let size = replica.model.as_ref().and_then(|model| Some(profile().model(model)?.size));
            let alive = replica.members.iter().flatten().all(|name| self.targets[name].alive);
            if alive && size.is_some_and(|size| replica.is_whole(size)) {
                let model = replica.model.as_ref().map(ToString::to_string).unwrap_or_default();
                *serving.entry(model).or_default() += 1;
            }
        }
        serving
    }

    /// Returns the members of a serving replica of a model, the head first.
    pub fn members_of(&self, model: &str) -> Vec<VmName> {
        let view = self.fleet();
        let replicas = view.replicas();
        let found = replicas.values().find(|replica| {
            replica.head_state == Some(MemberState::Open)
                && replica.model == Some(ModelName::new(model))
        });
        found.map(|replica| replica.members.iter().flatten().cloned().collect()).unwrap_or_default()
    }

    pub fn fleet(&self) -> FleetView {
        let mut view = self.listed.clone();
        let listed = self.targets.values().filter(|fake| {
            let unlisted = self.unlisted.contains(&fake.entry.name);
            !unlisted && fake.alive || fake.listed_until.is_some_and(|until| until > self.now)
        });
        view.replace(self.now, listed.map(|fake| fake.entry.clone()).collect());
        view.expire(self.now);
        view
    }

    /// Returns the target list and the replicas listed so far, as seen by a coordinator.
    fn list_of(&self, index: usize) -> (FleetView, BTreeSet<ReplicaKey>) {
        let lag_ms = self.list_lag_ms[index];
        if lag_ms == 0 {
            return (self.fleet(), self.recently_listed.clone());
        }
        let mut history = self.history.iter().rev();
        let listed = history.find(|(at, ..)| self.now.since(*at) >= lag_ms);
        listed
            .map(|(_, fleet, recently_listed)| (fleet.clone(), recently_listed.clone()))
            .unwrap_or_default()
    }

    fn with_view(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut DomainPlanner, TimeMs, FormingView<'_>),
    ) {
        let (fleet, recently_listed) = self.list_of(index);
        let profile = self.profile.clone();
        let service = ServiceName::new(SERVICE);
        let domains: Vec<_> = fleet.usable_domains(&service).map(ListedDomain::new).collect();
        let view = FormingView {
            fleet: &fleet,
            replicas: fleet.replicas(),
            recently_listed: &recently_listed,
            profile: &profile,
            domains: &domains,
            traffic_seen: self.traffic_seen,
            store_available: self.store_answers,
        };
        act(&mut self.coordinators[index], self.now, view);
    }

    pub fn handle(&mut self, index: usize, event: FormingEvent) {
        let mut out = Vec::new();
        self.with_view(index, |planner, now, view| planner.handle(now, view, event, &mut out));
        self.execute(index, out);
    }

    /// Passes an event to a planner, or lets it make a step; returns its actions, which are not carried out.
    pub fn actions_after(
        &mut self,
        index: usize,
        event: Option<FormingEvent>,
    ) -> Vec<FormingAction> {
        let mut out = Vec::new();
        self.with_view(index, |planner, now, view| match event {
            Some(event) => planner.handle(now, view, event, &mut out),
            None => planner.step(now, view, &mut out),
        });
        out
    }

    /// Replaces a planner by a new one of the same node.
    pub fn replace_planner(&mut self, index: usize, node: &str, id: PlannerId) {
        let (domain, node) = (self.domains[index].clone(), NodeName::new(node));
        let planner = DomainPlanner::new(self.now, domain, node, FormingSettings::default());
        self.coordinators[index] = planner.with_id(id);
    }

    pub fn execute(&mut self, index: usize, actions: Vec<FormingAction>) {
        for action in actions {
            match action {
                FormingAction::ReadRecord { planner } => self.read_record(index, planner),
                FormingAction::WriteRecord { planner, record } => {
                    self.write_record(index, planner, record);
                }
                FormingAction::Order { id, target, order, .. } => {
                    let outcome = self.order(&target, &order);
                    self.handle(index, FormingEvent::OrderCompleted { id, outcome });
                }
                FormingAction::Probe { target } => {
                    self.probes += 1;
                    self.probed_at.entry(target.clone()).or_default().push(self.now);
                    let reachability = match self.targets.get(&target) {
                        _ if self.resetting.contains(&target) => Reachability::Gone,
                        _ if self.stopped.contains_key(&target) => Reachability::Silent,
                        Some(fake) if fake.alive => Reachability::Answers,
                        _ => Reachability::NoConnection,
                    };
                    self.handle(
                        index,
                        FormingEvent::ProbeCompleted { target: target.clone(), reachability },
                    );
                    self.record_probe(&target, reachability);
                }
                FormingAction::RecordLoad { outcome, .. } => self.load_outcomes.push(outcome),
                FormingAction::LogChange { replica, change, .. } => {
                    self.changes.push((self.now, replica, change));
                }
                FormingAction::RecordLoadOrder { .. }
                | FormingAction::CountFailedFormation { .. } => {}
            }
        }
    }

    fn record_of(&mut self, index: usize) -> &mut Option<(u64, DomainRecord)> {
        match self.domains[index].as_str() {
            "rack" => &mut self.record,
            _ => self.other_records.entry(self.domains[index].clone()).or_default(),
        }
    }

    fn read_record(&mut self, index: usize, planner: PlannerId) {
        self.reads += 1;
        if !self.store_answers {
            return self.handle(index, FormingEvent::RecordFailed { planner });
        }
        let (version, record) = match self.record_of(index) {
            Some((revision, record)) => {
                (Some(*revision), record.clone().with_version(Generation::new(*revision)))
            }
            None => (None, DomainRecord::default()),
        };
        self.record_versions[index] = version;
        self.handle(index, FormingEvent::RecordRead { planner, record });
    }

    /// Carries out the writes that were held; returns their number.
    pub fn release_writes(&mut self) -> usize {
        self.holds_writes = false;
        let held = std::mem::take(&mut self.held_writes);
        let count = held.len();
        held.into_iter()
            .for_each(|(index, planner, record)| self.write_record(index, planner, record));
        count
    }

    fn write_record(&mut self, index: usize, planner: PlannerId, record: DomainRecord) {
        if self.holds_writes {
            return self.held_writes.push((index, planner, record));
        }
        let current = self.record_of(index).as_ref().map(|(revision, _)| *revision);
        if !self.store_answers || current != self.record_versions[index] {
            return self.handle(index, FormingEvent::RecordFailed { planner });
        }
        self.revision += 1;
        let new = record.replicas.iter().filter(|plan| plan.generation.is_none());
        for member in new.flat_map(|plan| &plan.members) {
            self.planned_at.entry(member.clone()).or_default().push(self.now);
        }
        let revision = self.revision;
        *self.record_of(index) = Some((revision, record));
        self.record_versions[index] = Some(self.revision);
        let generation = Generation::new(self.revision);
        self.handle(index, FormingEvent::RecordWritten { planner, generation });
    }

    /// Records what a probe shows of an unlisted target, as a node does.
    fn record_probe(&mut self, target: &VmName, reachability: Reachability) {
        match reachability {
            Reachability::Answers => {
                let mut answers = AnswerRun::default();
                answers.observe(self.now, self.leaving.contains(target));
                let started_at_ms = self.targets[target].entry.started_at_ms;
                self.listed.record_answers(self.now, (target, started_at_ms), &answers);
            }
            Reachability::Gone | Reachability::NoConnection => {
                self.listed.record_unreachable(self.now, target);
            }
            Reachability::Silent => {}
        }
    }

    fn order(&mut self, target: &VmName, order: &TargetOrder) -> OrderOutcome {
        if self.resetting.contains(target) || self.resets_orders.contains(target) {
            return OrderOutcome::TargetRemoved;
        }
        if let Some(lying) = self.stopped.get_mut(target) {
            lying.push(order.clone());
            return OrderOutcome::Unanswered;
        }
        if let Some(delay_ms) = self.order_delay_ms {
            self.delayed_orders.push((self.now.after(delay_ms), target.clone(), order.clone()));
            return OrderOutcome::Unanswered;
        }
        self.apply(target, order)
    }

    fn execute_delayed_orders(&mut self) {
        let now = self.now;
        let (due, later) = self.delayed_orders.drain(..).partition(|(at, ..)| *at <= now);
        self.delayed_orders = later;
        let due: Vec<(TimeMs, VmName, TargetOrder)> = due;
        for (_, target, order) in due {
            self.apply(&target, &order);
        }
    }

    fn apply(&mut self, target: &VmName, order: &TargetOrder) -> OrderOutcome {
        self.check_join(target, order);
        let refuses = self.refuses_stage.contains(target);
        match self.targets.get_mut(target) {
            None => OrderOutcome::TargetRemoved,
            Some(fake) if !fake.alive => OrderOutcome::Unanswered,
            Some(fake) => fake.apply(self.now, order, refuses),
        }
    }

    /// Records a violation if a target joins another replica while the head of its own still
    /// serves.
    fn check_join(&mut self, target: &VmName, order: &TargetOrder) {
        let TargetOrder::Join { replica, generation, .. } = order else { return };
        let Some(fake) = self.targets.get(target) else { return };
        let Some(member) = &fake.entry.membership else { return };
        if member.replica == *replica && member.generation == *generation
            || *generation < fake.highest_generation
            || !fake.alive
        {
            return;
        }
        let head = self.targets.values().find(|other| {
            other.alive
                && other.entry.membership.as_ref().is_some_and(|other| {
                    other.replica == member.replica
                        && other.generation == member.generation
                        && other.rank == 0
                        && matches!(other.state, MemberState::Open | MemberState::Closing)
                })
        });
        if let Some(head) = head {
            let head = head.entry.name.clone();
            self.violations.push(format!("{target} joins another replica while {head} is open"));
        }
    }

    fn advance_targets(&mut self) {
        // Loads beyond the limit of the weights store share its bandwidth.
        self.callers_served |= self.traffic_seen;
        let share = match self.callers_served {
            true => profile().concurrent_loads / self.loads_under_way().max(1) as f64,
            false => 1.0,
        };
        let loaded_ms = STEP_MS as f64 * share.min(1.0);
        let now = self.now;
        for fake in self.targets.values_mut().filter(|fake| fake.alive) {
            fake.advance(now, loaded_ms);
        }
        self.check_opened();
    }

    /// Records a violation if a head opens while a member is not ready.
    fn check_opened(&mut self) {
        let view = self.fleet();
        for replica in view.replicas().values() {
            if replica.head_state != Some(MemberState::Open) {
                continue;
            }
            let id = (replica.key.replica.clone(), replica.key.generation);
            if self.opened.contains_key(&id) {
                continue;
            }
            let size = replica.model.as_ref().and_then(|model| Some(profile().model(model)?.size));
            if !size.is_some_and(|size| replica.is_complete(size) && replica.all_ready) {
                self.violations.push(format!("{} opened without all its members", id.0));
            }
            let members = replica.members.iter().flatten().cloned().collect();
            self.opened.insert(id, members);
        }
    }

    fn assert_no_violations(&self) {
        assert!(self.violations.is_empty(), "{:?}", self.violations);
    }

    /// Returns the number of targets that are staging a model.
    pub fn loads_under_way(&self) -> usize {
        self.targets.values().filter(|fake| fake.alive && fake.staging.is_some()).count()
    }

    /// Returns the model that a target was last ordered to stage.
    pub fn last_staged(&self, target: &VmName) -> Option<&ModelName> {
        self.targets[target].orders.iter().rev().find_map(|order| match order {
            TargetOrder::Stage { model } => Some(model),
            _ => None,
        })
    }

    /// Returns the number of stage orders received by all targets.
    pub fn stage_orders(&self) -> usize {
        self.targets.keys().map(|name| self.count_orders(name, "stage")).sum()
    }

    /// Returns the number of join orders received by all targets.
    pub fn join_orders(&self) -> usize {
        self.targets.keys().map(|name| self.count_orders(name, "join")).sum()
    }

    /// Returns the number of orders of a kind that a target received.
    pub fn count_orders(&self, target: &VmName, kind: &str) -> usize {
        self.targets[target].orders.iter().filter(|order| order.as_str() == kind).count()
    }
}
