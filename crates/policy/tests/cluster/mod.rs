//! Simulates many nodes with shared replicas in virtual time; a replica reports its load with each
//! answer.

#![allow(dead_code, reason = "each test file uses a part")]

mod demand;

use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_policy::{
    Decision, FairPolicy, FairSettings, PolicyEvent, RequestPolicy, Sharing, TargetKey, TargetLoad,
    TargetProfile, TargetSubset, Ticket, UsualLimit,
};
use celeryhaven_types::{
    Idempotency, ModelName, OrganisationName, Priority, RequestClass, RequestHead, RequestId,
    TimeMs, Verdict,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use demand::DemandLayer;
pub use demand::SlotUse;

/// Slots of a replica, and mean time of a request in a slot, in milliseconds.
const SLOTS: usize = 20;
const SERVICE_MS: u64 = 1_000;

/// Time from a free slot to the first event, and the objective for it, in milliseconds.
const FIRST_TOKEN_MS: u64 = 150;
const OBJECTIVE_MS: u64 = 300;

/// Time after which a caller stops waiting, in milliseconds.
const DEADLINE_MS: u64 = 6_000;

/// Utilisation of the replicas at rate one.
pub const UTILISATION: f64 = 0.65;

/// Waiting requests from which a replica refuses more, if its callers are simulated.
const PLACES: usize = 2 * SLOTS;

/// Time to return of a caller that ignores the one it is given, and how often it tries.
const HASTY_RETURN_MS: u64 = 100;
const HASTY_TRIES_MAX: u32 = 4;

const STEP_MS: u64 = 5;

/// Outcomes of the requests in a span of time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    pub submitted: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Outcomes {
    /// Fraction of requests whose answer began in time.
    pub fn in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.submitted.max(1))
    }
}

#[derive(Clone, Debug, Default)]
struct Replica {
    running: BTreeSet<u64>,
    /// By priority, then in order of arrival.
    waiting: BTreeSet<(u8, u64, u64)>,
}

/// How callers behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Callers {
    /// They don't return, and wait for any answer.
    Single,
    /// They return once, at the given time or at a third of the time left.
    Obedient,
    /// They return at once, and more often.
    Hasty,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    node: usize,
    /// When the caller first tried.
    at_ms: u64,
    replica: Option<u32>,
    /// When the caller leaves.
    until_ms: u64,
    tries: u32,
    /// Whether its node recognised it as a return.
    is_return: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    FirstToken(u64),
    Completion(u64),
    Return(u64),
    Leave(u64),
}

/// Nodes, replicas and callers.
pub struct Cluster {
    nodes: Vec<FairPolicy>,
    replicas: BTreeMap<u32, Replica>,
    requests: BTreeMap<u64, Request>,
    due: BTreeSet<(u64, Timer)>,
    now_ms: u64,
    next_id: u64,
    rate: f64,
    pending_arrivals: f64,
    rng: SmallRng,
    outcomes: Outcomes,
    /// Refusals later than the objective after the request.
    pub refused_late: u32,
    /// Requests that refused callers sent again, which are not counted as submitted.
    pub returns: u32,
    /// The replicas that each node uses, if it uses a subset.
    subsets: Option<Vec<BTreeSet<u32>>>,
    callers: Callers,
    overload_control: bool,
    arrivals: u64,
    limits: Vec<UsualLimit>,
    /// Demand of the nodes, if the slots are shared by it.
    layer: Option<DemandLayer>,
    /// Requests that arrive at each node, relative to the others; empty if even.
    weights: Vec<f64>,
    /// Nodes that have failed, and of these the ones that the others still count as live.
    failed: BTreeSet<usize>,
    counted_live: usize,
    /// How the slots were used in the last run.
    pub slot_use: SlotUse,
}

fn class() -> RequestClass {
    RequestClass::Completion { model: ModelName::new("draft"), adapter: None }
}

impl Cluster {
    /// Creates nodes and replicas.
    pub fn new(seed: u64, nodes: usize, replicas: u32) -> Self {
        Self::with_callers(seed, nodes, replicas, (Callers::Single, false))
    }

    /// Creates nodes and replicas whose callers leave, and return after a refusal.
    pub fn with_callers(
        seed: u64,
        nodes: usize,
        replicas: u32,
        (callers, overload_control): (Callers, bool),
    ) -> Self {
        let policy = |node: usize| {
            let settings = FairSettings::new(seed * 1_000 + node as u64)
                .with_sharing(Sharing::Pooled)
                .with_eject_silent(false)
                .with_cost_margin(0.0)
                .with_overload_control(overload_control)
                .with_times(FIRST_TOKEN_MS as f64, 0.0, (SERVICE_MS - FIRST_TOKEN_MS) as f64);
            FairPolicy::new(settings)
        };
        let mut cluster = Self {
            nodes: (0..nodes).map(policy).collect(),
            replicas: BTreeMap::new(),
            requests: BTreeMap::new(),
            due: BTreeSet::new(),
            now_ms: 0,
            next_id: 0,
            rate: 1.0,
            pending_arrivals: 0.0,
            rng: SmallRng::seed_from_u64(seed),
            outcomes: Outcomes::default(),
            refused_late: 0,
            returns: 0,
            subsets: None,
            callers,
            overload_control,
            arrivals: 0,
            limits: vec![UsualLimit::default(); nodes],
            layer: None,
            weights: Vec::new(),
            failed: BTreeSet::new(),
            counted_live: nodes,
            slot_use: SlotUse::default(),
        };
        for node in 0..nodes {
            cluster.send_event(node, PolicyEvent::Senders { nodes: nodes as u32 });
        }
        cluster.restore_replicas(&(0..replicas).collect::<Vec<_>>());
        cluster
    }

    /// Creates nodes that use a subset of the replicas.
    pub fn with_subsets(seed: u64, nodes: usize, replicas: u32) -> Self {
        let mut cluster = Self::new(seed, nodes, replicas);
        cluster.subsets = Some(vec![(0..replicas).collect(); nodes]);
        cluster.choose_subsets();
        cluster
    }

    fn choose_subsets(&mut self) {
        let Some(mut subsets) = self.subsets.take() else { return };
        let with_name = |replica: &u32| (*replica, format!("replica-{replica}"));
        let all: Vec<(u32, String)> = self.replicas.keys().map(with_name).collect();
        for (node, current) in subsets.iter_mut().enumerate() {
            let rank =
                node - self.failed.range(..node).count().min(self.nodes.len() - self.counted_live);
            let subset = TargetSubset::new(rank, self.counted_live);
            let chosen = subset.choose(&all, |(_, name)| name.as_str());
            let chosen: BTreeSet<u32> = chosen.iter().map(|(replica, _)| *replica).collect();
            for &removed in current.difference(&chosen) {
                self.send_event(node, PolicyEvent::TargetDown { target: TargetKey::new(removed) });
            }
            for &added in chosen.difference(current) {
                self.target_up(node, added);
            }
            let nodes =
                TargetSubset::senders_per_target(self.counted_live as u32, chosen.len(), all.len());
            self.send_event(node, PolicyEvent::Senders { nodes });
            *current = chosen;
        }
        self.subsets = Some(subsets);
    }

    fn target_up(&mut self, node: usize, replica: u32) {
        let profile =
            TargetProfile { serves: class(), slots: SLOTS as u32, distance_us: 0, identity: 0 };
        let target = TargetKey::new(replica);
        self.send_event(node, PolicyEvent::TargetUp { target, profile });
    }

    /// Start windows of all nodes together, in slots of all replicas.
    pub fn windows(&self) -> f64 {
        let windows: f64 = self.nodes.iter().filter_map(FairPolicy::start_window).sum();
        windows / (self.replicas.len() * SLOTS) as f64
    }

    /// Sets the request rate; at one, the replicas are at [`UTILISATION`].
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Adds empty replicas.
    pub fn restore_replicas(&mut self, replicas: &[u32]) {
        for &replica in replicas {
            self.replicas.insert(replica, Replica::default());
            if self.subsets.is_none() {
                (0..self.nodes.len()).for_each(|node| self.target_up(node, replica));
            }
        }
        self.choose_subsets();
    }

    /// Removes replicas, whose requests fail.
    pub fn fail_replicas(&mut self, replicas: &[u32]) {
        for &replica in replicas {
            self.replicas.remove(&replica);
            self.subsets.iter_mut().flatten().for_each(|subset| {
                subset.remove(&replica);
            });
            for node in 0..self.nodes.len() {
                self.send_event(node, PolicyEvent::TargetDown { target: TargetKey::new(replica) });
            }
            let affected =
                self.requests.iter().filter(|(_, request)| request.replica == Some(replica));
            let affected: Vec<(u64, usize)> =
                affected.map(|(&id, request)| (id, request.node)).collect();
            for (id, node) in affected {
                self.due.retain(|(_, due)| {
                    !matches!(due,
                        Timer::FirstToken(timer_id) | Timer::Completion(timer_id) if *timer_id == id)
                });
                self.requests.entry(id).and_modify(|request| request.replica = None);
                let (ticket, verdict) = (Ticket::new(id), Verdict::MayHaveRun);
                self.send_event(node, PolicyEvent::AttemptFailed { ticket, verdict });
            }
        }
        self.choose_subsets();
    }

    /// Advances the time and returns the outcomes of requests that were resolved meanwhile.
    pub fn run(&mut self, duration_ms: u64) -> Outcomes {
        self.outcomes = Outcomes::default();
        self.slot_use = SlotUse::default();
        for _ in 0..duration_ms / STEP_MS {
            self.now_ms += STEP_MS;
            let refused_before = self.outcomes.refused;
            self.step_demand();
            self.submit_requests();
            while let Some(&(at_ms, due)) = self.due.first().filter(|(at, _)| *at <= self.now_ms) {
                self.due.remove(&(at_ms, due));
                match due {
                    Timer::FirstToken(id) => self.first_token(id),
                    Timer::Completion(id) => self.complete(id),
                    Timer::Return(id) => self.submit(id),
                    Timer::Leave(id) => self.leave(id),
                }
            }
            for node in 0..self.nodes.len() {
                if self.nodes[node].next_wake().is_some_and(|at| at.get() <= self.now_ms) {
                    self.send_event(node, PolicyEvent::Tick);
                }
            }
            self.record_slot_use(self.outcomes.refused - refused_before);
        }
        self.outcomes
    }

    fn submit_requests(&mut self) {
        // The rate refers to 20 replicas, also after a loss.
        let requests_per_ms = 20.0 * SLOTS as f64 * UTILISATION / SERVICE_MS as f64;
        self.pending_arrivals +=
            requests_per_ms * self.rate * STEP_MS as f64 * 2.0 * self.rng.random::<f64>();
        while self.pending_arrivals >= 1.0 {
            self.pending_arrivals -= 1.0;
            self.next_id += 1;
            let node = self.random_node();
            let limit_ms = match self.callers {
                Callers::Single => DEADLINE_MS,
                _ => DEADLINE_MS * self.rng.random_range(85..=100) / 100,
            };
            let request = Request {
                node,
                at_ms: self.now_ms,
                replica: None,
                until_ms: self.now_ms + limit_ms,
                tries: 0,
                is_return: false,
            };
            self.requests.insert(self.next_id, request);
            self.outcomes.submitted += 1;
            self.submit(self.next_id);
        }
    }

    /// Sends a request to its node, for the first time or again.
    fn submit(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        let is_again = request.tries > 0;
        let other_node = is_again.then(|| self.random_node());
        self.returns += u32::from(is_again);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.tries += 1;
        request.node = other_node.unwrap_or(request.node);
        let (node, left_ms) = (request.node, request.until_ms.saturating_sub(self.now_ms));
        if left_ms == 0 {
            self.requests.remove(&id);
            return;
        }
        let is_return = self.limits[node].is_return(Some(left_ms), DEADLINE_MS);
        request.is_return = self.overload_control && is_return;
        let start_within_ms = (!request.is_return).then_some(OBJECTIVE_MS);
        let head = RequestHead {
            id: RequestId::new("request"),
            organisation: OrganisationName::new("one"),
            class: class(),
            priority: Priority::new(0),
            worth: 1,
            idempotency: Idempotency::Idempotent,
            deadline_in_ms: left_ms,
            start_within_ms,
            attempts_max: (self.callers != Callers::Single).then_some(2),
            prompt_tokens: 1,
            output_tokens_max: 2,
            prefix_hashes: Vec::new(),
            choice_key: None,
        };
        let ticket = Ticket::new(id);
        self.count_demand(node);
        self.send_event(node, PolicyEvent::Arrived { ticket, head: &head });
    }

    fn first_token(&mut self, id: u64) {
        let Some(&Request { node, at_ms, replica: Some(replica), .. }) = self.requests.get(&id)
        else {
            return;
        };
        match self.now_ms - at_ms <= OBJECTIVE_MS {
            true => self.outcomes.in_time += 1,
            false => self.outcomes.late += 1,
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
        self.report_load(node, replica, load.running + load.waiting);
        self.send_event(node, PolicyEvent::Reported { target: TargetKey::new(replica), load });
        self.send_event(node, PolicyEvent::Started { ticket: Ticket::new(id) });
    }

    fn complete(&mut self, id: u64) {
        let Some(Request { node, replica: Some(replica), .. }) = self.requests.remove(&id) else {
            return;
        };
        self.send_event(node, PolicyEvent::Finished { ticket: Ticket::new(id), output_tokens: 1 });
        let Some(state) = self.replicas.get_mut(&replica) else { return };
        state.running.remove(&id);
        if let Some((_, _, next)) = state.waiting.pop_first() {
            self.start(replica, next);
        }
    }

    /// Ends a request whose caller has waited in vain; an answer that has begun is delivered.
    fn leave(&mut self, id: u64) {
        let Some(&Request { node, replica, .. }) = self.requests.get(&id) else { return };
        if let Some(state) = replica.and_then(|replica| self.replicas.get_mut(&replica)) {
            if state.running.contains(&id) {
                return;
            }
            state.waiting.retain(|(_, _, waiting)| *waiting != id);
        }
        self.requests.remove(&id);
        self.send_event(node, PolicyEvent::CallerDisconnected { ticket: Ticket::new(id) });
    }

    /// Lets a refused caller return, unless it does not or has too little time left.
    fn may_return(&mut self, id: u64, retry_after_ms: u64) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let left_ms = request.until_ms.saturating_sub(self.now_ms);
        let (wait_ms, tries_max) = match self.callers {
            Callers::Single => return false,
            Callers::Obedient => (retry_after_ms.min(left_ms / 3), 2),
            Callers::Hasty => (HASTY_RETURN_MS, HASTY_TRIES_MAX),
        };
        let returns = request.tries < tries_max && left_ms > wait_ms;
        if returns {
            request.replica = None;
            self.due.insert((self.now_ms + wait_ms.max(STEP_MS), Timer::Return(id)));
        }
        returns
    }

    fn start(&mut self, replica: u32, id: u64) {
        if let Some(state) = self.replicas.get_mut(&replica) {
            state.running.insert(id);
        }
        let service_ms = SERVICE_MS * self.rng.random_range(50..150) / 100;
        self.due.insert((self.now_ms + FIRST_TOKEN_MS, Timer::FirstToken(id)));
        self.due.insert((self.now_ms + service_ms.max(FIRST_TOKEN_MS), Timer::Completion(id)));
    }

    fn send_event(&mut self, node: usize, event: PolicyEvent<'_>) {
        if self.failed.contains(&node) {
            return;
        }
        let mut decisions = Vec::new();
        self.nodes[node].handle(TimeMs::new(self.now_ms), event, &mut decisions);
        for decision in decisions {
            match decision {
                Decision::Dispatch { ticket, target } => self.dispatch(ticket.get(), target.get()),
                Decision::Refuse { ticket, refusal } => {
                    let retry_after_ms = refusal.retry_after_ms.unwrap_or_default();
                    if self.may_return(ticket.get(), retry_after_ms) {
                        continue;
                    }
                    let Some(request) = self.requests.remove(&ticket.get()) else { continue };
                    self.outcomes.refused += 1;
                    let late = self.now_ms - request.at_ms > OBJECTIVE_MS + 100;
                    self.refused_late += u32::from(late);
                }
                Decision::Cancel { .. }
                | Decision::ReportSlow { .. }
                | Decision::DenyRetry { .. } => {}
            }
        }
    }

    fn dispatch(&mut self, id: u64, replica: u32) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.replica = Some(replica);
        let Request { node, at_ms, until_ms, is_return, .. } = *request;
        let is_late = is_return || self.now_ms - at_ms > OBJECTIVE_MS;
        let priority = if self.overload_control && is_late { 5 } else { 0 };
        let Some(state) = self.replicas.get_mut(&replica) else { return };
        if state.running.len() < SLOTS {
            self.start(replica, id);
        } else if self.callers == Callers::Single || state.waiting.len() < PLACES {
            self.arrivals += 1;
            state.waiting.insert((priority, self.arrivals, id));
            if self.callers != Callers::Single {
                self.due.insert((until_ms, Timer::Leave(id)));
            }
        } else {
            let (ticket, verdict) = (Ticket::new(id), Verdict::NotRun);
            self.send_event(node, PolicyEvent::AttemptFailed { ticket, verdict });
        }
    }
}
