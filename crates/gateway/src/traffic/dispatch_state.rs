use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use celeryhaven_delegation::PeerSet;
use celeryhaven_demand::FleetDemand;
use celeryhaven_fleet::{Evacuations, Route, RouteTable};
use celeryhaven_graceful_stop::{AnswerTimes, GracefulStop};
use celeryhaven_policy::{
    Decision, RetryDenial, SharedRetryBudget, StallDetector, Ticket, UsualLimit, return_after_ms,
};
use celeryhaven_quarantine::{CauseDigest, Hold, PendingCrashes, SoundRuns, Standing, Standings};
use celeryhaven_types::{
    DataCentreName, Map, ModelName, Refusal, RequestClass, ServiceName, TimeMs,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::traffic::pool::{Pool, RetryLimits};
use crate::traffic::second_attempts::SecondAttempt;
use crate::traffic::{
    CallerRequest, CrashReport, Destination, DestinationName, KnownDemand, OfferedLoad, Senders,
    TargetLimitMap, TargetNotices,
};

/// Identifies a pool: the service, and the model if the service has engines.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct PoolKey {
    pub(crate) service: ServiceName,
    pub(crate) model: Option<ModelName>,
}

/// An instruction from the dispatcher to an exchange.
#[derive(Clone, Debug)]
pub(crate) enum Instruction {
    /// Send the request to this destination.
    Send(Destination),
    /// Answer the caller with this refusal.
    Refuse(Refusal),
    /// Cancel the attempt.
    Cancel,
    /// Begin a second attempt beside the one that runs.
    StartSecond(SecondAttempt),
    /// Let a peer run the request beside the attempt that runs.
    DelegateSecond,
    /// Give the attempt up, unless a whole event has come: a cause that the request holds is
    /// quarantined.
    TakeBack,
}

/// Instructions that may wait for an exchange.
const INSTRUCTIONS_MAX: usize = 8;

/// Interval between two updates of the parts of the slots without waiting requests, in milliseconds.
const SLOT_PARTS_INTERVAL_MS: u64 = 100;

/// Creates the channel of the instructions for an attempt.
pub(crate) fn instruction_channel() -> (Sender<Instruction>, Receiver<Instruction>) {
    async_channel::bounded(INSTRUCTIONS_MAX)
}

/// A request without a final answer.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) pool: PoolKey,
    pub(crate) instructions: Sender<Instruction>,
    pub(crate) destination: Option<DestinationName>,
    /// Data centre of the last destination.
    pub(crate) data_centre: Option<DataCentreName>,
    /// When its target last sent something, or the request was sent to it.
    pub(crate) heard_at: TimeMs,
    /// When its stream produced the first event; `None` if it has not at this target.
    pub(crate) streaming_since: Option<TimeMs>,
    /// Whether the request may be sent again after it may have run.
    pub(crate) may_repeat: bool,
    /// Whether it may be sent to a further target by a peer.
    pub(crate) may_delegate: bool,
    /// Whether a retry by a peer has been charged to the retry budget.
    pub(crate) is_retry_paid: bool,
    /// When it may next ask for a second attempt.
    pub(crate) next_second_at: TimeMs,
    /// The second attempt that runs beside this one.
    pub(crate) second: Option<Ticket>,
    /// The attempt beside which this one runs.
    pub(crate) first: Option<Ticket>,
    /// Why it got no further attempt when it last needed one.
    pub(crate) retry_denial: Option<RetryDenial>,
    pub(crate) digest: CauseDigest,
    pub(crate) parts: Vec<CauseDigest>,
}

/// The state on which dispatch decisions are based.
#[derive(Debug)]
pub(crate) struct DispatchState {
    pub(crate) routes: Option<Arc<RouteTable>>,
    pub(crate) destinations: Arc<[Destination]>,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) ready: bool,
    pub(crate) cut_off_until: Option<TimeMs>,
    /// The stop that the node was told, if any.
    pub(crate) stopping: Option<GracefulStop>,
    /// How long complete answers have taken lately.
    pub(crate) answer_times: AnswerTimes,
    pub(crate) stall_detector: StallDetector<DestinationName>,
    pub(crate) active_requests: Map<Ticket, ActiveRequest>,
    pub(crate) evacuations: Evacuations,
    /// Requests that are suspected of ending their targets, or quarantined; `None` until they have
    /// been read.
    pub(crate) standings: Option<Arc<Standings>>,
    /// Contents that are held, as they may have ended targets.
    pub(crate) held: Arc<BTreeMap<CauseDigest, Hold>>,
    /// Nodes that can run requests for this one.
    pub(crate) peers: PeerSet,
    /// Crashes that are not reported yet.
    pub(crate) crashes: PendingCrashes<CrashReport>,
    /// Requests that targets have run lately without ending.
    pub(crate) sound_runs: SoundRuns,
    /// Limits of targets, and this node's parts of them.
    pub(crate) limits: Arc<TargetLimitMap>,
    /// What targets have told this node about themselves.
    notices: Arc<TargetNotices>,
    /// When the next pause of a target ends.
    back_off_ends_at: Option<TimeMs>,
    pub(super) pools: Map<PoolKey, Pool>,
    senders: Senders,
    demand: Option<Arc<KnownDemand>>,
    /// When the parts of the slots were last updated.
    parts_updated_at: TimeMs,
    next_ticket: Ticket,
    /// Requests that the policy has reported as slow since the last tick.
    slow: Vec<Ticket>,
    seed: u64,
    retry_earned_per_arrival: f64,
    shared_retries: SharedRetryBudget,
    pub(super) rng: SmallRng,
    overload_control: bool,
    /// Usual limits of callers, by route.
    usual_limits: Map<String, UsualLimit>,
}

impl DispatchState {
    /// Creates an empty state; all nodes share `retry_saved_max`.
    pub(crate) fn new(seed: u64, retry_earned_per_arrival: f64, retry_saved_max: f64) -> Self {
        let node_fraction: f64 = SmallRng::seed_from_u64(seed).random();
        Self {
            routes: None,
            destinations: Arc::default(),
            addresses: Vec::new(),
            ready: false,
            cut_off_until: None,
            stopping: None,
            answer_times: AnswerTimes::default(),
            stall_detector: StallDetector::new(),
            active_requests: Map::default(),
            evacuations: Evacuations::default(),
            standings: None,
            held: Arc::default(),
            peers: PeerSet::new(),
            rng: SmallRng::seed_from_u64(seed.wrapping_add(1)),
            crashes: PendingCrashes::new(),
            sound_runs: SoundRuns::new(),
            limits: Arc::default(),
            notices: Arc::default(),
            back_off_ends_at: None,
            pools: Map::default(),
            senders: Senders { nodes: 1, rank: 0 },
            demand: None,
            parts_updated_at: TimeMs::new(0),
            next_ticket: Ticket::default(),
            slow: Vec::new(),
            seed,
            retry_earned_per_arrival,
            shared_retries: SharedRetryBudget::new(retry_saved_max, node_fraction),
            overload_control: false,
            usual_limits: Map::default(),
        }
    }

    /// Sets whether requests for engines that can begin in time come before late ones.
    pub(crate) fn with_overload_control(self, overload_control: bool) -> Self {
        Self { overload_control, ..self }
    }

    /// Whether the overload control applies to requests of a route for a model.
    pub(crate) fn is_governed(&self, route: &Route, model: Option<&ModelName>) -> bool {
        self.overload_control && model.is_some() && route.kind.may_repeat()
    }

    /// Records the budget of a request and returns whether it is a return.
    pub(crate) fn is_return(&mut self, route: &Route, budget_ms: Option<u64>) -> bool {
        if !self.usual_limits.contains_key(&route.name) {
            self.usual_limits.insert(route.name.clone(), UsualLimit::default());
        }
        let limit = self.usual_limits.get_mut(&route.name);
        limit.is_some_and(|limit| limit.is_return(budget_ms, route.timeout_ms))
    }

    /// Returns the delay after which a caller with this much time left should return.
    pub(crate) fn return_after_ms(&mut self, left_ms: u64) -> u64 {
        return_after_ms(left_ms, &mut self.rng)
    }

    /// Returns the start window of a pool in requests; `None` without overload control.
    pub(crate) fn start_window(&self, request: &CallerRequest) -> Option<f64> {
        let key = PoolKey { service: request.service.clone(), model: request.model.clone() };
        self.pools.get(&key)?.start_window()
    }

    /// Registers a request and lets the policy dispatch or queue it.
    pub(crate) fn register(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        request: &CallerRequest,
        instructions: Sender<Instruction>,
    ) {
        let key = PoolKey { service: request.service.clone(), model: request.model.clone() };
        let active = ActiveRequest {
            pool: key.clone(),
            instructions,
            destination: None,
            data_centre: None,
            heard_at: now,
            streaming_since: None,
            may_repeat: request.may_repeat(),
            may_delegate: false,
            is_retry_paid: false,
            next_second_at: now,
            second: None,
            first: None,
            retry_denial: None,
            digest: request.digest,
            parts: request.parts.clone(),
        };
        self.active_requests.insert(ticket, active);
        let mut out = Vec::new();
        let choice_key = self.choice_key(request);
        if let Some(pool) = self.pool_or_insert(now, &key) {
            let head = request.head(now, pool.tokens_per_event, choice_key);
            let is_counted = request.delegated.is_some_and(|delegated| delegated.is_counted);
            pool.arrived(now, ticket, &head, is_counted, &mut out);
        }
        self.execute(&key, out);
    }

    /// Returns a ticket for a request that is not registered yet.
    pub(crate) fn reserve_ticket(&mut self) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket = ticket.next();
        ticket
    }

    /// Sends an event about an active request to its pool, and executes the resulting decisions.
    pub(crate) fn notify_pool(
        &mut self,
        ticket: Ticket,
        event: impl FnOnce(&mut Pool, &mut Vec<Decision>),
    ) {
        let Some(active) = self.active_requests.get(&ticket) else { return };
        let key = active.pool.clone();
        let mut out = Vec::new();
        if let Some(pool) = self.pools.get_mut(&key) {
            event(pool, &mut out);
        }
        self.execute(&key, out);
    }

    /// Removes a completed request, or one of its attempts, that the policy no longer tracks.
    pub(crate) fn remove(&mut self, ticket: Ticket) {
        let Some(active) = self.active_requests.remove(&ticket) else { return };
        if let (Some(name), Some(_)) = (&active.destination, active.streaming_since) {
            self.stall_detector.stream_finished(name);
        }
        let other = active.first.or(active.second);
        if let Some(other) = other.and_then(|other| self.active_requests.get_mut(&other)) {
            (other.first, other.second) = (None, None);
        }
    }

    /// Sets the destinations for requests.
    pub(crate) fn set_destinations(&mut self, now: TimeMs, destinations: Arc<[Destination]>) {
        if !Arc::ptr_eq(&self.destinations, &destinations) {
            self.destinations = destinations;
            self.refresh_targets(now);
        }
    }

    /// Sets the limits of targets.
    pub(crate) fn set_limits(&mut self, now: TimeMs, limits: Arc<TargetLimitMap>) {
        if Arc::ptr_eq(&self.limits, &limits) {
            return;
        }
        self.limits = limits;
        for key in self.pools.keys().cloned().collect::<Vec<_>>() {
            let mut out = Vec::new();
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.set_limits(now, &self.limits, &mut out);
            }
            self.execute(&key, out);
        }
    }

    /// Sets what targets have told this node about themselves.
    pub(crate) fn set_notices(&mut self, now: TimeMs, notices: Arc<TargetNotices>) {
        let has_ended = self.back_off_ends_at.is_some_and(|at| at <= now);
        if Arc::ptr_eq(&self.notices, &notices) && !has_ended {
            return;
        }
        self.back_off_ends_at = notices.back_offs.next_end(now);
        let before = std::mem::replace(&mut self.notices, notices);
        for key in self.pools.keys().cloned().collect::<Vec<_>>() {
            let mut out = Vec::new();
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.set_notices(now, &self.notices, &mut out);
            }
            self.execute(&key, out);
        }
        if before.departures != self.notices.departures {
            self.refresh_targets(now);
        }
    }

    /// Sets the nodes that send to the same targets.
    pub(crate) fn set_senders(&mut self, now: TimeMs, senders: Senders) {
        if senders == self.senders {
            return;
        }
        self.senders = senders;
        for key in self.pools.keys().cloned().collect::<Vec<_>>() {
            let retries = self.retry_limits(&key);
            let mut out = Vec::new();
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.set_senders(now, senders, retries, &mut out);
            }
            self.execute(&key, out);
        }
    }

    /// Sets the short-term demand of the fleet.
    pub(crate) fn set_demand(&mut self, now: TimeMs, demand: Option<Arc<KnownDemand>>) {
        let is_same = match (&self.demand, &demand) {
            (Some(before), Some(after)) => Arc::ptr_eq(before, after),
            (before, after) => before.is_none() && after.is_none(),
        };
        if is_same {
            return;
        }
        self.demand = demand;
        for key in self.pools.keys().cloned().collect::<Vec<_>>() {
            let total = self.pool_demand(&key);
            let mut out = Vec::new();
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.set_demand(now, total, &mut out);
            }
            self.execute(&key, out);
        }
    }

    /// Returns the demand of the fleet for the model of a pool.
    fn pool_demand(&self, key: &PoolKey) -> Option<FleetDemand> {
        let (known, model) = (self.demand.as_ref()?, key.model.as_ref()?);
        let KnownDemand { measured_at, demand } = known.as_ref();
        let busy_slots = demand.busy_slots.get(model).copied().unwrap_or_default();
        let busy_slots = f64::from(busy_slots);
        Some(FleetDemand { busy_slots, nodes: demand.nodes, measured_at: *measured_at })
    }

    /// Updates this node's parts of the slots: with requests that wait at each call, as their
    /// deadlines are short.
    fn update_slot_parts(&mut self, now: TimeMs) {
        let all = now.since(self.parts_updated_at) >= SLOT_PARTS_INTERVAL_MS;
        if all {
            self.parts_updated_at = now;
        }
        let pools = self.pools.iter().filter(|(_, pool)| pool.shares_by_demand());
        let due = pools.filter(|(_, pool)| all || pool.queued() > 0);
        for key in due.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            let mut out = Vec::new();
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.update_slot_part(now, &mut out);
            }
            self.execute(&key, out);
        }
    }

    /// Suspects the destinations that have stalled and returns them, moves their requests, and
    /// processes timers that are due.
    ///
    /// No destination of an `unknown` service is suspected: this node may be isolated from it.
    pub(crate) fn tick(
        &mut self,
        now: TimeMs,
        unknown: &BTreeSet<ServiceName>,
    ) -> Vec<DestinationName> {
        let excluded = self.destinations.iter().filter(|at| unknown.contains(&at.service));
        let excluded: BTreeSet<&DestinationName> = excluded.map(|at| &at.name).collect();
        let stalled = self.stall_detector.detect_stalled(now, |name| !excluded.contains(name));
        if self.stall_detector.take_changed() {
            self.refresh_targets(now);
        }
        // Requests that could not get a second attempt before may now.
        for name in self.stall_detector.stalled() {
            self.start_seconds_at(now, &name);
        }
        let due = self.pools.iter().filter(|(_, pool)| pool.is_due(now));
        for key in due.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            let mut out = Vec::new();
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.tick(now, &mut out);
            }
            self.execute(&key, out);
        }
        self.update_slot_parts(now);
        let slow = std::mem::take(&mut self.slow);
        self.start_seconds(now, slow);
        stalled
    }

    /// Suspects a destination temporarily and lets the repeatable requests there begin elsewhere as well.
    pub(crate) fn suspect(&mut self, now: TimeMs, name: &DestinationName) {
        if !self.stall_detector.is_stalled(now, name) {
            self.stall_detector.suspect_stalled(now, name);
            self.refresh_targets(now);
            self.start_seconds_at(now, name);
        }
    }

    /// Suspects a destination temporarily without cancelling the requests there.
    pub(crate) fn exclude(&mut self, now: TimeMs, name: &DestinationName) {
        self.stall_detector.suspect(now, name);
        self.refresh_targets(now);
    }

    /// Returns the load that callers have offered for each model since the last call.
    pub(crate) fn take_offered_load(&mut self) -> Vec<OfferedLoad> {
        let pools = self.pools.iter_mut();
        let offered = pools.filter_map(|(key, pool)| {
            let model = key.model.clone()?;
            Some(OfferedLoad { model, slot_ms: pool.take_offered_slot_ms() })
        });
        offered.filter(|offered| offered.slot_ms > 0.0).collect()
    }

    /// Removes and returns the crashes that are due to be reported.
    pub(crate) fn take_due_crashes(&mut self, now: TimeMs) -> Vec<CrashReport> {
        let active = &self.active_requests;
        self.crashes.take_due(now, |digest| {
            let copies = active.values().filter(|active| active.digest == digest);
            let streaming_since = copies.filter_map(|active| active.streaming_since).min();
            streaming_since.map(|since| now.since(since))
        })
    }

    /// Returns the standing of a cause; `None` if it has none.
    pub(crate) fn standing(&self, digest: CauseDigest) -> Option<Standing> {
        self.standings.as_ref()?.get(&digest).copied()
    }

    /// Returns the choice key of a request: of the last part that is suspected, or else of its content;
    /// `None` if targets have run that lately without ending.
    ///
    /// Nodes that do not know yet what ends their targets then end the same ones.
    pub(crate) fn choice_key(&self, request: &CallerRequest) -> Option<u64> {
        let is_sound = |digest: &CauseDigest| self.sound_runs.contains(*digest);
        let suspected = request.parts.iter().rev().find(|part| {
            (self.standing(**part).is_some() || self.crashes.contains(**part)) && !is_sound(part)
        });
        let content = Some(&request.digest).filter(|digest| !is_sound(digest));
        suspected.or(content).map(|digest| digest.hash64())
    }

    /// Whether a part of the prompt of a request is not known to be sound.
    pub(crate) fn has_unproven_part(&self, request: &CallerRequest) -> bool {
        request.parts.iter().any(|part| !self.sound_runs.contains(*part))
    }

    /// Returns how long a request has been streaming from its target, if it has.
    pub(crate) fn streaming_ms(&self, now: TimeMs, ticket: Ticket) -> Option<u64> {
        let since = self.active_requests.get(&ticket)?.streaming_since?;
        Some(now.since(since))
    }

    /// Returns the number of requests that run in evacuated data centres.
    pub(crate) fn evacuating(&self) -> usize {
        let running = self.active_requests.values().filter(|active| active.destination.is_some());
        let data_centres = running.filter_map(|active| active.data_centre.as_ref());
        data_centres.filter(|data_centre| self.evacuations.contains(data_centre)).count()
    }

    /// Returns the number of requests that wait for a target.
    pub(crate) fn queued(&self) -> usize {
        self.pools.values().map(Pool::queued).sum()
    }

    /// Gives each pool the destinations that are neither suspected nor leaving.
    pub(super) fn refresh_targets(&mut self, now: TimeMs) {
        for key in self.pools.keys().cloned().collect::<Vec<_>>() {
            let eligible = self.eligible_destinations(now, &key);
            let mut out = Vec::new();
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.set_targets(now, &eligible, &mut out);
            }
            self.execute(&key, out);
        }
    }

    fn eligible_destinations(&self, now: TimeMs, key: &PoolKey) -> Vec<Destination> {
        let of_pool = self.destinations.iter().filter(|destination| {
            destination.service == key.service && destination.model == key.model
        });
        let departures = &self.notices.departures;
        of_pool
            .filter(|destination| {
                !departures.contains(&destination.target, destination.started_at_ms)
            })
            .filter(|destination| !self.stall_detector.is_suspected(now, &destination.name))
            .cloned()
            .collect()
    }

    fn pool_or_insert(&mut self, now: TimeMs, key: &PoolKey) -> Option<&mut Pool> {
        if !self.pools.contains_key(key) {
            let pool = self.new_pool(now, key);
            self.pools.insert(key.clone(), pool);
        }
        self.pools.get_mut(key)
    }

    fn new_pool(&mut self, now: TimeMs, key: &PoolKey) -> Pool {
        let config = self.routes.as_ref().map(|routes| routes.config());
        let engine = config.and_then(|config| {
            let engine = config.service(&key.service)?.engine.as_ref()?;
            Some((engine, engine.model(key.model.as_ref()?)?))
        });
        let class = match &key.model {
            Some(model) => RequestClass::Completion { model: model.clone(), adapter: None },
            None => RequestClass::Plain { service: key.service.clone() },
        };
        self.seed = self.seed.wrapping_add(1);
        let mut pool = Pool::new(class, self.seed, engine, self.retry_limits(key))
            .with_overload_control(self.overload_control);
        let mut out = Vec::new();
        pool.set_senders(now, self.senders, self.retry_limits(key), &mut out);
        if let Some(total) = self.pool_demand(key) {
            pool.set_demand(now, Some(total), &mut out);
        }
        pool.set_limits(now, &self.limits, &mut out);
        pool.set_notices(now, &self.notices, &mut out);
        pool.set_targets(now, &self.eligible_destinations(now, key), &mut out);
        pool
    }

    /// Returns this node's share of the retries allowed to all nodes for a pool; the pools of a
    /// service share them.
    fn retry_limits(&self, key: &PoolKey) -> RetryLimits {
        let config = self.routes.as_ref().map(|routes| routes.config());
        let engine = config.and_then(|config| config.service(&key.service)?.engine.as_ref());
        let pools = engine.map_or(1, |engine| engine.models.len());
        let saved_max = self.shared_retries.node_part(self.senders.nodes, pools);
        RetryLimits { earned_per_arrival: self.retry_earned_per_arrival, saved_max }
    }

    pub(super) fn execute(&mut self, key: &PoolKey, decisions: Vec<Decision>) {
        for decision in decisions {
            let (ticket, instruction) = match decision {
                Decision::Dispatch { ticket, target } => {
                    let destination = self.pools.get(key).and_then(|pool| pool.destination(target));
                    let Some(destination) = destination.cloned() else { continue };
                    if let Some(active) = self.active_requests.get_mut(&ticket) {
                        active.destination = Some(destination.name.clone());
                        active.data_centre = Some(destination.data_centre.clone());
                    }
                    (ticket, Instruction::Send(destination))
                }
                Decision::Refuse { ticket, refusal } => (ticket, Instruction::Refuse(refusal)),
                Decision::Cancel { ticket } => (ticket, Instruction::Cancel),
                Decision::ReportSlow { ticket } => {
                    self.slow.push(ticket);
                    continue;
                }
                Decision::DenyRetry { ticket, denial } => {
                    if let Some(active) = self.active_requests.get_mut(&ticket) {
                        active.retry_denial = Some(denial);
                    }
                    continue;
                }
            };
            if let Some(active) = self.active_requests.get(&ticket) {
                active.instructions.try_send(instruction).unwrap_or_default();
            }
        }
    }
}
