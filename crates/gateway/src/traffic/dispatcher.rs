use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use celeryhaven_clock::BootClock;
use celeryhaven_http::{ConnectionPool, StopSignal};
use celeryhaven_policy::{RetryDenial, Ticket};
use celeryhaven_telemetry::{GatewayMetrics, ModelLabel};
use celeryhaven_types::{ServiceName, TimeMs, Verdict};
use slog::{Logger, info};
use smol::LocalExecutor;

use crate::adapter::{Adapter, ReportedLoad};
use crate::bodies::BodyStore;
use crate::links::LinkCheck;
use crate::traffic::dispatch_state::{DispatchState, Instruction, instruction_channel};
use crate::traffic::{
    CallerRequest, DestinationName, ReadBuffers, SharedConfirmation, SharedNotices, TrafficReport,
    TrafficUpdate, UnreadAnswers,
};

/// Interval between two checks of queues and stalled replicas.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Ticks between two reports of offered load.
const TICKS_PER_LOAD_REPORT: u32 = 20;

/// Ticks between two looks at the memory of the process.
const TICKS_PER_MEMORY_LOOK: u32 = 10;

/// State that all exchanges of the process share, owned by the traffic thread.
pub(crate) struct Dispatcher<A> {
    pub(crate) adapter: A,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) connections: ConnectionPool,
    pub(crate) link_check: LinkCheck,
    pub(crate) state: RefCell<DispatchState>,
    pub(crate) notices: SharedNotices,
    /// Up to when the configuration is known to be the newest one.
    pub(crate) confirmation: SharedConfirmation,
    /// Time within which a change of the configuration must be in force, in milliseconds.
    pub(crate) config_apply_ms: u64,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) log: Logger,
    /// Bytes of answers that all requests hold back.
    pub(crate) read_buffers: ReadBuffers,
    /// Bytes of answers that callers have not taken.
    pub(crate) unread_answers: UnreadAnswers,
    /// Bodies of callers' requests.
    pub(crate) bodies: BodyStore,
    reports: Sender<TrafficReport>,
    first_request_seen: Cell<bool>,
    ticks: Cell<u32>,
    /// Number of abandoned attempts whose targets are still to be checked.
    pub(super) abandoned_checks: Cell<usize>,
    /// Whether no request runs in an evacuated data centre.
    is_clear: Cell<bool>,
    /// Services from which this node was isolated at the last look.
    isolated: RefCell<BTreeSet<ServiceName>>,
    /// Sent shortly before the process exits.
    pub(crate) exit: StopSignal,
    /// Bearer token that other nodes present when they delegate requests to this one.
    pub(crate) token: String,
}

impl<A: Adapter> Dispatcher<A> {
    /// Creates a dispatcher without destinations, which connects to targets as `link_check` does.
    pub(crate) fn new(
        adapter: A,
        link_check: LinkCheck,
        state: DispatchState,
        bodies: BodyStore,
        reports: Sender<TrafficReport>,
    ) -> Self {
        let LinkCheck { executor, connections, metrics, log, .. } = link_check.clone();
        let (state, first_request_seen, ticks) =
            (RefCell::new(state), Cell::new(false), Cell::new(0));
        Self {
            adapter,
            executor,
            connections,
            link_check,
            state,
            notices: SharedNotices::default(),
            confirmation: SharedConfirmation::default(),
            config_apply_ms: 0,
            metrics,
            log,
            read_buffers: ReadBuffers::default(),
            unread_answers: UnreadAnswers::new(bodies.shares().unread_answer_bytes()),
            bodies,
            reports,
            first_request_seen,
            ticks,
            abandoned_checks: Cell::new(0),
            is_clear: Cell::new(true),
            isolated: RefCell::default(),
            exit: StopSignal::default(),
            token: String::new(),
        }
    }

    /// Sets the notices that are shared with the control thread.
    pub(crate) fn with_notices(self, notices: SharedNotices) -> Self {
        Self { notices, ..self }
    }

    /// Sets up to when the configuration is known to be the newest one, and the time within which a
    /// change of it must be in force.
    pub(crate) fn with_confirmation(
        self,
        confirmation: SharedConfirmation,
        config_apply_ms: u64,
    ) -> Self {
        Self { confirmation, config_apply_ms, ..self }
    }

    /// Sets the bearer token of this node.
    pub(crate) fn with_token(self, token: String) -> Self {
        Self { token, ..self }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> TimeMs {
        BootClock.now()
    }

    /// Applies updates of the control thread until the process ends.
    pub(crate) async fn apply_updates(self: Rc<Self>, updates: Receiver<TrafficUpdate>) {
        while let Ok(mut update) = updates.recv().await {
            while let Ok(newer) = updates.try_recv() {
                update = newer;
            }
            let now = self.now();
            let mut state = self.state.borrow_mut();
            if let Some(routes) = &update.routes {
                self.bodies.set_body_max(routes.config().limits.body_bytes_max as u64);
            }
            state.routes = update.routes;
            state.addresses = update.addresses;
            state.ready = update.ready;
            state.cut_off_until = update.cut_off_until;
            state.held = update.held;
            let is_changed = match (&state.standings, &update.standings) {
                (Some(before), Some(after)) => !Arc::ptr_eq(before, after),
                (before, after) => before.is_some() != after.is_some(),
            };
            state.standings = update.standings;
            if is_changed {
                state.take_back_quarantined();
            }
            if state.evacuations != update.evacuations {
                state.evacuations = update.evacuations;
                self.is_clear.set(false);
            }
            state.peers.set_peers(update.peers);
            state.set_senders(now, update.senders);
            state.set_demand(now, update.demand);
            // A target that comes up must not receive the queue before its limit is known.
            state.set_limits(now, update.limits);
            state.set_destinations(now, update.destinations);
        }
    }

    /// Processes timers that are due until the process ends.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        loop {
            smol::Timer::after(TICK_INTERVAL).await;
            self.apply_notices();
            self.follow_links();
            let unknown = self.link_check.links.unknown_services();
            let stalled = self.state.borrow_mut().tick(self.now(), &unknown);
            for name in stalled {
                self.suspect_replica(&name, "streams stand still");
            }
            self.metrics.queued.set(self.state.borrow().queued() as i64);
            self.follow_bodies();
            self.report_evacuating();
            self.report_offered_load();
            self.report_crashes();
        }
    }

    /// Decides on bodies that wait, and adapts the room for bodies.
    fn follow_bodies(&self) {
        if self.ticks.get().is_multiple_of(TICKS_PER_MEMORY_LOOK) {
            self.bodies.measure();
        }
        self.bodies.poll();
        let (used_bytes, limit_bytes, waiting) = self.bodies.usage();
        self.metrics.body_bytes.set(used_bytes as i64);
        self.metrics.body_bytes_max.set(limit_bytes as i64);
        self.metrics.bodies_waiting.set(waiting as i64);
        self.metrics.unread_answer_bytes.set(self.unread_answers.bytes() as i64);
    }

    /// Starts the checks of links that are due, and applies what they have found.
    fn follow_links(&self) {
        self.link_check.start_due();
        let isolated = self.link_check.links.isolated_services();
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let before = self.isolated.replace(isolated.clone());
        if before != isolated {
            state.forget_failures(now);
        }
        if !isolated.is_empty() {
            state.delegate_silent(now, |service| isolated.contains(service));
        }
    }

    /// Whether this node has lost its links to all targets that form replicas.
    pub(crate) fn is_isolated_from_engines(&self) -> bool {
        let state = self.state.borrow();
        let services = state.routes.iter().flat_map(|routes| &routes.config().services);
        let mut engines = services.filter(|service| service.engine.is_some());
        engines.any(|service| self.link_check.links.is_isolated(&service.name))
    }

    /// Counts the requests that still run in evacuated data centres, and logs when none is left.
    fn report_evacuating(&self) {
        let state = self.state.borrow();
        if self.is_clear.get() {
            return;
        }
        let running = state.evacuating();
        self.metrics.evacuating_requests.set(running as i64);
        if running == 0 {
            self.is_clear.set(true);
            if !state.evacuations.is_empty() {
                info!(self.log, "evacuation clear of requests of this node");
            }
        }
    }

    fn report_offered_load(&self) {
        self.ticks.set(self.ticks.get().wrapping_add(1));
        if !self.ticks.get().is_multiple_of(TICKS_PER_LOAD_REPORT) {
            return;
        }
        let offered = self.state.borrow_mut().take_offered_load();
        self.report_demand_shares();
        if !offered.is_empty() {
            self.notify_control(TrafficReport::Offered(offered));
        }
    }

    /// Reports and logs this node's shares of the slots.
    fn report_demand_shares(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        for (key, pool) in &mut state.pools {
            let Some(model) = &key.model else { continue };
            if let Some((before, after)) = pool.take_share_change(now) {
                let text = |share: Option<f64>| {
                    share.map_or("even".to_owned(), |share| format!("{share:.4}"))
                };
                info!(self.log, "share of slots"; "model" => model.as_str(),
                    "before" => text(before), "now" => text(after));
            }
            let (share, age_ms) = pool.demand_share(now).unwrap_or_default();
            let label = ModelLabel { model: model.to_string() };
            self.metrics.slot_share_permille.get_or_create(&label).set((share * 1e3) as i64);
            self.metrics.demand_age_ms.set(age_ms as i64);
        }
    }

    /// Returns a ticket for a request that is not registered yet.
    pub(crate) fn reserve_ticket(&self) -> Ticket {
        if !self.first_request_seen.replace(true) {
            self.notify_control(TrafficReport::FirstRequest);
        }
        self.state.borrow_mut().reserve_ticket()
    }

    /// Registers a request; the receiver yields the instructions for it.
    pub(crate) fn register(
        &self,
        ticket: Ticket,
        request: &CallerRequest,
    ) -> Receiver<Instruction> {
        let (sender, instructions) = instruction_channel();
        self.state.borrow_mut().register(self.now(), ticket, request, sender);
        instructions
    }

    /// Records the first event of a stream, or the head of a plain answer.
    pub(crate) fn started(&self, ticket: Ticket, is_stream: bool) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if let Some(active) = state.active_requests.get_mut(&ticket)
            && is_stream
            && active.streaming_since.is_none()
            && let Some(name) = &active.destination
        {
            active.streaming_since = Some(now);
            state.stall_detector.stream_started(now, name);
        }
        state.notify_pool(ticket, |pool, out| pool.started(now, ticket, out));
    }

    /// Records that a request was sent to a target.
    ///
    /// `may_delegate` tells whether a peer may send it to a further one.
    pub(crate) fn sent(&self, ticket: Ticket, service: &ServiceName, may_delegate: bool) {
        let now = self.now();
        self.link_check.links.sent(now, service);
        if let Some(active) = self.state.borrow_mut().active_requests.get_mut(&ticket) {
            active.heard_at = now;
            active.may_delegate = may_delegate;
        }
    }

    /// Records that the target of a request has sent a part of its answer.
    pub(crate) fn received(&self, ticket: Ticket, service: &ServiceName) {
        self.link_check.links.received(service);
        let now = self.now();
        if let Some(active) = self.state.borrow_mut().active_requests.get_mut(&ticket) {
            active.heard_at = now;
        }
    }

    /// Whether the retry budget, which is charged, allows another attempt of a request.
    pub(crate) fn try_withdraw_retry(&self, ticket: Ticket) -> bool {
        self.state.borrow_mut().try_withdraw_retry(ticket)
    }

    /// Records that a stream of the destination has produced an event.
    pub(crate) fn progressed(&self, name: &DestinationName) {
        let now = self.now();
        self.state.borrow_mut().stall_detector.event_received(now, name);
    }

    /// Records the load that a target has reported.
    pub(crate) fn load_reported(&self, ticket: Ticket, name: &DestinationName, load: ReportedLoad) {
        let now = self.now();
        self.state
            .borrow_mut()
            .notify_pool(ticket, |pool, out| pool.load_reported(now, name, load, out));
    }

    /// Records that the caller has the complete answer.
    pub(crate) fn completed(&self, ticket: Ticket, events: u32, request: &CallerRequest) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.notify_pool(ticket, |pool, out| {
            let allowed = request.events_allowed(pool.tokens_per_event);
            pool.completed(now, ticket, (events, allowed), out);
        });
        state.remove(ticket);
    }

    /// Records an attempt without a complete answer; an instruction follows.
    pub(crate) fn attempt_failed(&self, ticket: Ticket, request: &CallerRequest, verdict: Verdict) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if let Some(active) = state.active_requests.get_mut(&ticket) {
            if active.streaming_since.is_some()
                && let Some(name) = &active.destination
            {
                state.stall_detector.stream_finished(name);
            }
            active.streaming_since = None;
            active.destination = None;
        }
        let failure = (verdict, state.choice_key(request));
        state.notify_pool(ticket, |pool, out| pool.attempt_failed(now, ticket, failure, out));
    }

    /// Records that one of two attempts has failed; the request goes on as the other.
    pub(crate) fn partner_failed(&self, ticket: Ticket, request: &CallerRequest, verdict: Verdict) {
        self.attempt_failed(ticket, request, verdict);
        self.state.borrow_mut().remove(ticket);
    }

    /// Records a request that ends without an answer from a target.
    pub(crate) fn abandoned(&self, ticket: Ticket) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.notify_pool(ticket, |pool, out| pool.abandoned(now, ticket, out));
        state.remove(ticket);
    }

    /// Returns the start window of the pool of a request, if the overload control applies to it.
    pub(crate) fn start_window(&self, request: &CallerRequest) -> Option<f64> {
        // A dropped exchange may end while the state is borrowed.
        let state = self.state.try_borrow().ok()?;
        state.start_window(request).filter(|_| request.is_governed)
    }

    /// Whether the policy knows a request.
    pub(crate) fn is_registered(&self, ticket: Ticket) -> bool {
        self.state.borrow().active_requests.contains_key(&ticket)
    }

    /// Returns why a request got no further attempt when it last needed one.
    pub(crate) fn retry_denial(&self, ticket: Ticket) -> Option<RetryDenial> {
        self.state.borrow().active_requests.get(&ticket)?.retry_denial
    }

    /// Removes a request that the policy has refused.
    pub(crate) fn refused(&self, ticket: Ticket) {
        self.state.borrow_mut().remove(ticket);
    }

    /// Suspects a destination, lets its repeatable requests begin elsewhere as well, and notifies the
    /// control thread.
    pub(crate) fn suspect_replica(&self, name: &DestinationName, why: &'static str) {
        self.state.borrow_mut().suspect(self.now(), name);
        let DestinationName::Replica(key) = name else { return };
        info!(self.log, "replica suspected";
            "replica" => key.replica.as_str(), "generation" => key.generation.get(), "why" => why);
        self.notify_control(TrafficReport::Suspected(key.clone()));
    }

    /// Sends no new requests to a replica whose head refuses them because a member is missing.
    ///
    /// A head that is closing refuses in the same way, so its running streams are left alone. A
    /// head that has lost a member ends its streams itself.
    pub(crate) fn avoid_replica(&self, name: &DestinationName) {
        self.state.borrow_mut().exclude(self.now(), name);
        let DestinationName::Replica(key) = name else { return };
        info!(self.log, "replica refuses";
            "replica" => key.replica.as_str(), "generation" => key.generation.get());
    }

    /// Sends a report to the control thread; a lost report only delays its reaction.
    pub(crate) fn notify_control(&self, report: TrafficReport) {
        self.reports.try_send(report).unwrap_or_default();
    }
}
