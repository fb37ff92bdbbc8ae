//! A fabric domain of toy targets in virtual time, and deciders that order them.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod toy;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use celeryhaven_fleet::{
    EngineProfile, FleetView, MemberState, OrderOutcome, ReplicaKey, TargetOrder,
};
use celeryhaven_forming::{
    DomainPlanner, DomainRecord, FormingAction, FormingEvent, FormingSettings, FormingView,
    ListedDomain, Reachability,
};
use celeryhaven_types::{
    DomainName, Generation, ModelName, NodeName, ReplicaName, ServiceName, TimeMs, VmName,
};

use toy::{SERVICE, Toy, profile};

/// Time of one step of the world.
pub const STEP_MS: u64 = 100;

/// Lists of the past that deciders may see.
const PAST_LISTS: usize = 200;

/// The targets of one domain, the record in the store, and one decider or more.
pub struct World {
    pub now: TimeMs,
    pub toys: BTreeMap<VmName, Toy>,
    pub record: Option<(u64, DomainRecord)>,
    pub revision: u64,
    pub store_answers: bool,
    pub deciders: Vec<DomainPlanner>,
    versions: Vec<Option<u64>>,
    /// How old the list is that each decider sees, in milliseconds.
    pub list_lag_ms: Vec<u64>,
    /// Lists of the past, the oldest first.
    past: VecDeque<(TimeMs, FleetView, BTreeSet<ReplicaKey>)>,
    /// What the deciders know of the engines.
    pub profile: EngineProfile,
    pub traffic_seen: bool,
    /// Whether it ever was, whatever a new decider knows of it.
    callers_came: bool,
    /// Violations of what must always hold.
    pub faults: Vec<String>,
    /// Orders that get no answer and are carried out at a later time.
    pub delay_orders: Option<u64>,
    delayed: Vec<(TimeMs, VmName, TargetOrder)>,
    /// Targets that refuse to stage.
    pub refuses_stage: BTreeSet<VmName>,
    hidden: BTreeSet<VmName>,
    /// Replicas that the list has shown so far.
    shown: BTreeSet<ReplicaKey>,
    /// Probes sent so far.
    pub probes: usize,
    /// Reads of the record so far.
    pub reads: usize,
    listed: FleetView,
    opened: BTreeMap<(ReplicaName, Generation), Vec<VmName>>,
}

impl World {
    /// A domain of empty targets with one decider.
    pub fn new(targets: usize) -> Self {
        let mut world = Self {
            now: TimeMs::new(1_000),
            toys: BTreeMap::new(),
            record: None,
            revision: 10,
            store_answers: true,
            deciders: Vec::new(),
            versions: Vec::new(),
            list_lag_ms: Vec::new(),
            past: VecDeque::new(),
            profile: profile(),
            traffic_seen: false,
            callers_came: false,
            faults: Vec::new(),
            delay_orders: None,
            delayed: Vec::new(),
            refuses_stage: BTreeSet::new(),
            hidden: BTreeSet::new(),
            shown: BTreeSet::new(),
            probes: 0,
            reads: 0,
            listed: FleetView::new(),
            opened: BTreeMap::new(),
        };
        (0..targets).for_each(|number| world.add(number));
        world.add_decider("entry-1");
        world
    }

    /// An empty target comes.
    pub fn add(&mut self, number: usize) {
        self.toys.insert(toy::name(number), Toy::new(number));
    }

    pub fn add_decider(&mut self, node: &str) {
        let settings = FormingSettings::default();
        let domain = DomainName::new("rack");
        self.deciders.push(DomainPlanner::new(self.now, domain, NodeName::new(node), settings));
        self.versions.push(None);
        self.list_lag_ms.push(0);
    }

    /// A decider that sees the list as it was some time ago.
    pub fn add_lagging_decider(&mut self, node: &str, lag_ms: u64) {
        self.add_decider(node);
        self.list_lag_ms.pop();
        self.list_lag_ms.push(lag_ms);
    }

    /// A decider is gone; what it had begun stays as it is.
    pub fn drop_decider(&mut self, index: usize) {
        self.deciders.remove(index);
        self.versions.remove(index);
        self.list_lag_ms.remove(index);
    }

    /// A target goes silent; its entry lapses some seconds later.
    pub fn kill(&mut self, target: &VmName) {
        let until = self.now.after(3_000);
        if let Some(toy) = self.toys.get_mut(target) {
            toy.alive = false;
            toy.listed_until = Some(until);
        }
    }

    /// A target loses the store: it is listed no more, and lives and serves on.
    pub fn hide(&mut self, target: &VmName) {
        self.hidden.insert(target.clone());
    }

    /// Another node decides, which has never seen what is not listed now.
    pub fn replace_decider(&mut self, node: &str) {
        self.listed = FleetView::new();
        self.drop_decider(0);
        self.add_decider(node);
    }

    /// Another decider writes the record, and leaves its plans as they are.
    pub fn write_by_another(&mut self) {
        self.revision += 1;
        let revision = self.revision;
        self.record = self
            .record
            .take()
            .map(|(before, record)| (revision, record.at(Generation::new(before))));
    }

    /// A target starts again under its name and holds nothing of before.
    pub fn restart(&mut self, target: &VmName) {
        if let Some(toy) = self.toys.get_mut(target) {
            toy.entry.membership = None;
            toy.entry.model = None;
            toy.entry.started_at_ms = Some(self.now.get());
            toy.highest = Generation::new(0);
        }
    }

    /// A closing head has finished its work.
    pub fn finish_work(&mut self, target: &VmName) {
        let toy = self.toys.get_mut(target);
        if let Some(member) = toy.and_then(|toy| toy.entry.membership.as_mut()) {
            member.state = MemberState::Ready;
        }
    }

    /// Heads that finish their work before their replica is taken apart.
    pub fn closing_heads(&self) -> Vec<VmName> {
        let closing = |toy: &&Toy| {
            let member = toy.entry.membership.as_ref();
            toy.alive && member.is_some_and(|member| member.state == MemberState::Closing)
        };
        self.toys.values().filter(closing).map(|toy| toy.entry.name.clone()).collect()
    }

    /// Every closing head has finished its work.
    pub fn finish_all_work(&mut self) {
        for head in self.closing_heads() {
            self.finish_work(&head);
        }
    }

    /// Lets this much time pass.
    pub fn run_ms(&mut self, span_ms: u64) {
        let end = self.now.after(span_ms);
        while self.now < end {
            self.step();
        }
    }

    /// Lets one step pass.
    pub fn step(&mut self) {
        self.now = self.now.after(STEP_MS);
        self.advance_toys();
        self.listed = self.fleet();
        self.shown.extend(self.listed.replicas().keys().cloned());
        self.past.push_back((self.now, self.listed.clone(), self.shown.clone()));
        if self.past.len() > PAST_LISTS {
            self.past.pop_front();
        }
        self.carry_out_delayed();
        for index in 0..self.deciders.len() {
            let mut out = Vec::new();
            self.with_view(index, |planner, now, view| planner.step(now, view, &mut out));
            self.carry_out(index, out);
        }
        self.check();
    }

    /// Tells every decider that a replica stands still.
    pub fn suspect(&mut self, target: &VmName) {
        let Some(member) = self.toys[target].entry.membership.clone() else { return };
        let replica = ReplicaKey { replica: member.replica, generation: member.generation };
        for index in 0..self.deciders.len() {
            self.hear(index, FormingEvent::Suspected { replica: replica.clone() });
        }
    }

    /// Whole replicas that serve, by model.
    pub fn serving(&self) -> BTreeMap<String, usize> {
        let view = self.fleet();
        let mut serving = BTreeMap::new();
        for replica in view.replicas().values() {
            let size = replica.model.as_ref().and_then(|model| Some(profile().model(model)?.size));
            let alive = replica.members.iter().flatten().all(|name| self.toys[name].alive);
            if alive && size.is_some_and(|size| replica.is_whole(size)) {
                let model = replica.model.as_ref().map(ToString::to_string).unwrap_or_default();
                *serving.entry(model).or_default() += 1;
            }
        }
        serving
    }

    /// Members of a serving replica of a model, the head first.
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
        let listed = self.toys.values().filter(|toy| {
            let hidden = self.hidden.contains(&toy.entry.name);
            !hidden && toy.alive || toy.listed_until.is_some_and(|until| until > self.now)
        });
        view.replace(self.now, listed.map(|toy| toy.entry.clone()).collect());
        view.expire(self.now);
        view
    }

    /// The list, and the replicas that it has shown, as a decider sees them.
    fn seen_by(&self, index: usize) -> (FleetView, BTreeSet<ReplicaKey>) {
        let lag_ms = self.list_lag_ms[index];
        if lag_ms == 0 {
            return (self.fleet(), self.shown.clone());
        }
        let mut past = self.past.iter().rev();
        let seen = past.find(|(at, ..)| self.now.since(*at) >= lag_ms);
        seen.map(|(_, fleet, shown)| (fleet.clone(), shown.clone())).unwrap_or_default()
    }

    fn with_view(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut DomainPlanner, TimeMs, FormingView<'_>),
    ) {
        let (fleet, shown) = self.seen_by(index);
        let profile = self.profile.clone();
        let service = ServiceName::new(SERVICE);
        let domains: Vec<_> = fleet.domains(&service).map(ListedDomain::new).collect();
        let view = FormingView {
            fleet: &fleet,
            replicas: fleet.replicas(),
            shown: &shown,
            profile: &profile,
            domains: &domains,
            traffic_seen: self.traffic_seen,
            store_serves: self.store_answers,
        };
        act(&mut self.deciders[index], self.now, view);
    }

    pub fn hear(&mut self, index: usize, event: FormingEvent) {
        let mut out = Vec::new();
        self.with_view(index, |planner, now, view| planner.handle(now, view, event, &mut out));
        self.carry_out(index, out);
    }

    pub fn carry_out(&mut self, index: usize, actions: Vec<FormingAction>) {
        for action in actions {
            match action {
                FormingAction::ReadRecord => self.read_record(index),
                FormingAction::WriteRecord { record } => self.write_record(index, record),
                FormingAction::Order { call, target, order } => {
                    let outcome = self.order(&target, &order);
                    self.hear(index, FormingEvent::Ordered { call, outcome });
                }
                FormingAction::Probe { target } => {
                    self.probes += 1;
                    let reachability = match self.toys.get(&target) {
                        Some(toy) if toy.alive => Reachability::Answers,
                        _ => Reachability::Silent,
                    };
                    self.hear(index, FormingEvent::Probed { target, reachability });
                }
                FormingAction::Note { .. } => {}
            }
        }
    }

    fn read_record(&mut self, index: usize) {
        self.reads += 1;
        if !self.store_answers {
            return self.hear(index, FormingEvent::RecordFailed);
        }
        let (version, record) = match &self.record {
            Some((revision, record)) => {
                (Some(*revision), record.clone().at(Generation::new(*revision)))
            }
            None => (None, DomainRecord::default()),
        };
        self.versions[index] = version;
        self.hear(index, FormingEvent::RecordRead { record });
    }

    fn write_record(&mut self, index: usize, record: DomainRecord) {
        let held = self.record.as_ref().map(|(revision, _)| *revision);
        if !self.store_answers || held != self.versions[index] {
            return self.hear(index, FormingEvent::RecordFailed);
        }
        self.revision += 1;
        self.record = Some((self.revision, record));
        self.versions[index] = Some(self.revision);
        let generation = Generation::new(self.revision);
        self.hear(index, FormingEvent::RecordWritten { generation });
    }

    fn order(&mut self, target: &VmName, order: &TargetOrder) -> OrderOutcome {
        if let Some(delay_ms) = self.delay_orders {
            self.delayed.push((self.now.after(delay_ms), target.clone(), order.clone()));
            return OrderOutcome::Unanswered;
        }
        self.apply(target, order)
    }

    fn carry_out_delayed(&mut self) {
        let now = self.now;
        let (due, later) = self.delayed.drain(..).partition(|(at, ..)| *at <= now);
        self.delayed = later;
        let due: Vec<(TimeMs, VmName, TargetOrder)> = due;
        for (_, target, order) in due {
            self.apply(&target, &order);
        }
    }

    fn apply(&mut self, target: &VmName, order: &TargetOrder) -> OrderOutcome {
        self.check_join(target, order);
        let refuses = self.refuses_stage.contains(target);
        match self.toys.get_mut(target) {
            None => OrderOutcome::TargetRemoved,
            Some(toy) if !toy.alive => OrderOutcome::Unanswered,
            Some(toy) => toy.apply(self.now, order, refuses),
        }
    }

    /// A target that joins another replica while the head of its own serves is in both.
    fn check_join(&mut self, target: &VmName, order: &TargetOrder) {
        let TargetOrder::Join { replica, generation, .. } = order else { return };
        let Some(toy) = self.toys.get(target) else { return };
        let Some(member) = &toy.entry.membership else { return };
        if member.replica == *replica && member.generation == *generation
            || *generation < toy.highest
            || !toy.alive
        {
            return;
        }
        let head = self.toys.values().find(|other| {
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
            self.faults.push(format!("{target} joins another replica while {head} is open"));
        }
    }

    fn advance_toys(&mut self) {
        // Loads beyond what the weights store can do at once share its speed.
        self.callers_came |= self.traffic_seen;
        let share = match self.callers_came {
            true => profile().concurrent_loads / self.loads_under_way().max(1) as f64,
            false => 1.0,
        };
        let loaded_ms = STEP_MS as f64 * share.min(1.0);
        let now = self.now;
        for toy in self.toys.values_mut().filter(|toy| toy.alive) {
            toy.advance(now, loaded_ms);
        }
        self.note_opened();
    }

    /// A head that opens must have all its members ready at that moment.
    fn note_opened(&mut self) {
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
                self.faults.push(format!("{} opened without all its members", id.0));
            }
            let members = replica.members.iter().flatten().cloned().collect();
            self.opened.insert(id, members);
        }
    }

    fn check(&self) {
        assert!(self.faults.is_empty(), "{:?}", self.faults);
    }

    /// Targets that stage a model now.
    pub fn loads_under_way(&self) -> usize {
        self.toys.values().filter(|toy| toy.alive && toy.staging.is_some()).count()
    }

    /// The model that a target was told last to stage.
    pub fn staged_last(&self, target: &VmName) -> Option<&ModelName> {
        self.toys[target].orders.iter().rev().find_map(|order| match order {
            TargetOrder::Stage { model } => Some(model),
            _ => None,
        })
    }

    /// Orders to stage that targets got.
    pub fn loads(&self) -> usize {
        self.toys.keys().map(|name| self.count_orders(name, "stage")).sum()
    }

    /// Orders to join that targets got.
    pub fn joins(&self) -> usize {
        self.toys.keys().map(|name| self.count_orders(name, "join")).sum()
    }

    /// Orders of a kind that a target got.
    pub fn count_orders(&self, target: &VmName, word: &str) -> usize {
        self.toys[target].orders.iter().filter(|order| order.as_str() == word).count()
    }
}
