//! Many nodes before the same replicas, in virtual time; a replica tells its load with each answer.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use celeryhaven_policy::{
    Decision, FairPolicy, FairSettings, PolicyEvent, RequestPolicy, Sharing, TargetKey, TargetLoad,
    TargetProfile, TargetSubset, Ticket,
};
use celeryhaven_types::{
    Idempotency, ModelName, OrganisationName, Priority, RequestClass, RequestHead, RequestId,
    TimeMs, Verdict,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Slots of a replica, and how long a request stays in one, in milliseconds.
const SLOTS: usize = 20;
const RUN_MS: u64 = 1_000;

/// Time from a free slot to the first event, and the time within which it is to come, in milliseconds.
const FIRST_MS: u64 = 150;
const OBJECTIVE_MS: u64 = 300;

/// How long its caller waits, in milliseconds.
const DEADLINE_MS: u64 = 6_000;

/// Part of all slots that is taken at a rate of one.
const FILL: f64 = 0.65;

const STEP_MS: u64 = 5;

/// What became of the requests that were asked in a span of time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Span {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Span {
    /// Part of them whose answer began in time.
    pub fn in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

#[derive(Clone, Debug, Default)]
struct Replica {
    running: BTreeSet<u64>,
    waiting: VecDeque<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    node: usize,
    at_ms: u64,
    replica: Option<u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    First(u64),
    End(u64),
}

/// Nodes, replicas and callers.
pub struct Crowd {
    nodes: Vec<FairPolicy>,
    replicas: BTreeMap<u32, Replica>,
    asked: BTreeMap<u64, Asked>,
    due: BTreeSet<(u64, Due)>,
    now_ms: u64,
    next: u64,
    rate: f64,
    owed: f64,
    rng: SmallRng,
    span: Span,
    /// Refusals that came later than an objective after the request.
    pub refused_late: u32,
    /// The replicas that each node uses, where it uses some alone.
    used: Option<Vec<BTreeSet<u32>>>,
}

fn class() -> RequestClass {
    RequestClass::Completion { model: ModelName::new("draft"), adapter: None }
}

impl Crowd {
    /// So many nodes before so many replicas.
    pub fn new(seed: u64, nodes: usize, replicas: u32) -> Self {
        let policy = |node: usize| {
            let settings = FairSettings::new(seed * 1_000 + node as u64)
                .with_sharing(Sharing::Pooled)
                .with_eject_silent(false)
                .with_cost_margin(0.0)
                .with_times(FIRST_MS as f64, 0.0, (RUN_MS - FIRST_MS) as f64);
            FairPolicy::new(settings)
        };
        let mut crowd = Self {
            nodes: (0..nodes).map(policy).collect(),
            replicas: BTreeMap::new(),
            asked: BTreeMap::new(),
            due: BTreeSet::new(),
            now_ms: 0,
            next: 0,
            rate: 1.0,
            owed: 0.0,
            rng: SmallRng::seed_from_u64(seed),
            span: Span::default(),
            refused_late: 0,
            used: None,
        };
        for node in 0..nodes {
            crowd.tell(node, PolicyEvent::Sharers { nodes: nodes as u32 });
        }
        crowd.come_back(&(0..replicas).collect::<Vec<_>>());
        crowd
    }

    /// The same, where each node uses a subset of the replicas.
    pub fn with_subsets(seed: u64, nodes: usize, replicas: u32) -> Self {
        let mut crowd = Self::new(seed, nodes, replicas);
        crowd.used = Some(vec![(0..replicas).collect(); nodes]);
        crowd.choose_subsets();
        crowd
    }

    fn choose_subsets(&mut self) {
        let Some(mut used) = self.used.take() else { return };
        let named = |replica: &u32| (*replica, format!("replica-{replica}"));
        let all: Vec<(u32, String)> = self.replicas.keys().map(named).collect();
        for (node, before) in used.iter_mut().enumerate() {
            let chosen = TargetSubset::new(node as u64).choose(&all, |(_, name)| name.as_str());
            let chosen: BTreeSet<u32> = chosen.iter().map(|(replica, _)| *replica).collect();
            for &gone in before.difference(&chosen) {
                self.tell(node, PolicyEvent::TargetDown { target: TargetKey::new(gone) });
            }
            for &new in chosen.difference(before) {
                self.target_up(node, new);
            }
            let nodes = TargetSubset::sharers(self.nodes.len() as u32, chosen.len(), all.len());
            self.tell(node, PolicyEvent::Sharers { nodes });
            *before = chosen;
        }
        self.used = Some(used);
    }

    fn target_up(&mut self, node: usize, replica: u32) {
        let profile = TargetProfile { serves: class(), slots: SLOTS as u32, distance_us: 0 };
        let target = TargetKey::new(replica);
        self.tell(node, PolicyEvent::TargetUp { target, profile });
    }

    /// Callers ask at this rate from now on; at one the replicas are full to a usual part.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Replicas come, empty.
    pub fn come_back(&mut self, replicas: &[u32]) {
        for &replica in replicas {
            self.replicas.insert(replica, Replica::default());
            if self.used.is_none() {
                (0..self.nodes.len()).for_each(|node| self.target_up(node, replica));
            }
        }
        self.choose_subsets();
    }

    /// Replicas are lost with what they have.
    pub fn lose(&mut self, replicas: &[u32]) {
        for &replica in replicas {
            self.replicas.remove(&replica);
            self.used.iter_mut().flatten().for_each(|used| {
                used.remove(&replica);
            });
            for node in 0..self.nodes.len() {
                self.tell(node, PolicyEvent::TargetDown { target: TargetKey::new(replica) });
            }
            let there = self.asked.iter().filter(|(_, asked)| asked.replica == Some(replica));
            let there: Vec<(u64, usize)> = there.map(|(&id, asked)| (id, asked.node)).collect();
            for (id, node) in there {
                self.due.retain(|(_, due)| !matches!(due, Due::First(d) | Due::End(d) if *d == id));
                self.asked.entry(id).and_modify(|asked| asked.replica = None);
                let (ticket, verdict) = (Ticket::new(id), Verdict::MayHaveRun);
                self.tell(node, PolicyEvent::Broken { ticket, verdict });
            }
        }
        self.choose_subsets();
    }

    /// Lets time pass; what became of the requests of that time, but for those not yet over.
    pub fn run(&mut self, span_ms: u64) -> Span {
        self.span = Span::default();
        for _ in 0..span_ms / STEP_MS {
            self.now_ms += STEP_MS;
            self.ask();
            while let Some(&(at_ms, due)) = self.due.first().filter(|(at, _)| *at <= self.now_ms) {
                self.due.remove(&(at_ms, due));
                match due {
                    Due::First(id) => self.first(id),
                    Due::End(id) => self.end(id),
                }
            }
            for node in 0..self.nodes.len() {
                if self.nodes[node].next_wake().is_some_and(|at| at.get() <= self.now_ms) {
                    self.tell(node, PolicyEvent::Tick);
                }
            }
        }
        self.span
    }

    fn ask(&mut self) {
        // Twenty replicas are what the rate is of, whatever is lost of them.
        let per_ms = 20.0 * SLOTS as f64 * FILL / RUN_MS as f64;
        self.owed += per_ms * self.rate * STEP_MS as f64 * 2.0 * self.rng.random::<f64>();
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            self.next += 1;
            let node = self.rng.random_range(0..self.nodes.len());
            self.asked.insert(self.next, Asked { node, at_ms: self.now_ms, replica: None });
            self.span.asked += 1;
            let head = RequestHead {
                id: RequestId::new("request"),
                organisation: OrganisationName::new("one"),
                class: class(),
                priority: Priority::new(0),
                worth: 1,
                idempotency: Idempotency::Idempotent,
                deadline_in_ms: DEADLINE_MS,
                start_within_ms: Some(OBJECTIVE_MS),
                prompt_tokens: 1,
                output_tokens_max: 2,
                prefix_hashes: Vec::new(),
            };
            let ticket = Ticket::new(self.next);
            self.tell(node, PolicyEvent::Arrived { ticket, head: &head });
        }
    }

    fn first(&mut self, id: u64) {
        let Some(&Asked { node, at_ms, replica: Some(replica) }) = self.asked.get(&id) else {
            return;
        };
        match self.now_ms - at_ms <= OBJECTIVE_MS {
            true => self.span.in_time += 1,
            false => self.span.late += 1,
        }
        let state = &self.replicas[&replica];
        let load = TargetLoad {
            age_ms: 1,
            running: state.running.len() as u32,
            waiting: state.waiting.len() as u32,
            prefill_tokens_queued: 0,
            kv_used_permille: 0,
            tokens_generated: 0,
            adapters_loaded: Vec::new(),
        };
        self.tell(node, PolicyEvent::Reported { target: TargetKey::new(replica), load });
        self.tell(node, PolicyEvent::Started { ticket: Ticket::new(id) });
    }

    fn end(&mut self, id: u64) {
        let Some(Asked { node, replica: Some(replica), .. }) = self.asked.remove(&id) else {
            return;
        };
        self.tell(node, PolicyEvent::Finished { ticket: Ticket::new(id), output_tokens: 1 });
        let Some(state) = self.replicas.get_mut(&replica) else { return };
        state.running.remove(&id);
        if let Some(next) = state.waiting.pop_front() {
            self.begin(replica, next);
        }
    }

    fn begin(&mut self, replica: u32, id: u64) {
        if let Some(state) = self.replicas.get_mut(&replica) {
            state.running.insert(id);
        }
        let run_ms = RUN_MS * self.rng.random_range(50..150) / 100;
        self.due.insert((self.now_ms + FIRST_MS, Due::First(id)));
        self.due.insert((self.now_ms + run_ms.max(FIRST_MS), Due::End(id)));
    }

    fn tell(&mut self, node: usize, event: PolicyEvent<'_>) {
        let mut decisions = Vec::new();
        self.nodes[node].handle(TimeMs::new(self.now_ms), event, &mut decisions);
        for decision in decisions {
            match decision {
                Decision::Dispatch { ticket, target } => self.sent(ticket.get(), target.get()),
                Decision::Refuse { ticket, .. } => {
                    let Some(asked) = self.asked.remove(&ticket.get()) else { continue };
                    self.span.refused += 1;
                    let late = self.now_ms - asked.at_ms > OBJECTIVE_MS + 100;
                    self.refused_late += u32::from(late);
                }
                Decision::Cancel { .. } => {}
            }
        }
    }

    fn sent(&mut self, id: u64, replica: u32) {
        self.asked.entry(id).and_modify(|asked| asked.replica = Some(replica));
        let Some(state) = self.replicas.get_mut(&replica) else { return };
        match state.running.len() < SLOTS {
            true => self.begin(replica, id),
            false => state.waiting.push_back(id),
        }
    }
}
