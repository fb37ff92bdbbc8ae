use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use celeryhaven_clock::BootClock;
use celeryhaven_http::ConnectionPool;
use celeryhaven_policy::Ticket;
use celeryhaven_telemetry::GatewayMetrics;
use celeryhaven_types::{TimeMs, Verdict};
use slog::{Logger, info};
use smol::LocalExecutor;

use crate::adapter::{Adapter, ReportedLoad};
use crate::traffic::gate_state::{GateState, Instruction};
use crate::traffic::{Ask, RoutableName, TrafficReport, TrafficUpdate};

/// Time between two looks at queues and at replicas that stand still.
const TICK: Duration = Duration::from_millis(25);

/// Ticks between two messages on the work that callers offer.
const TICKS_PER_OFFERED: u32 = 20;

/// What every exchange of the process shares; it lives on the traffic thread.
pub(crate) struct Gate<A> {
    pub(crate) adapter: A,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) channels: ConnectionPool,
    pub(crate) state: RefCell<GateState>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) log: Logger,
    news: Sender<TrafficReport>,
    seen_first: Cell<bool>,
    ticks: Cell<u32>,
}

impl<A: Adapter> Gate<A> {
    /// Knows nothing yet and takes no requests.
    pub(crate) fn new(
        adapter: A,
        executor: Rc<LocalExecutor<'static>>,
        channels: ConnectionPool,
        state: GateState,
        metrics: GatewayMetrics,
        log: Logger,
        news: Sender<TrafficReport>,
    ) -> Rc<Self> {
        let (state, seen_first, ticks) = (RefCell::new(state), Cell::new(false), Cell::new(0));
        Rc::new(Self { adapter, executor, channels, state, metrics, log, news, seen_first, ticks })
    }

    /// The time now.
    pub(crate) fn now(&self) -> TimeMs {
        BootClock.now()
    }

    /// Takes over what the control thread publishes, for ever.
    pub(crate) async fn follow(self: Rc<Self>, updates: Receiver<TrafficUpdate>) {
        while let Ok(mut update) = updates.recv().await {
            while let Ok(newer) = updates.try_recv() {
                update = newer;
            }
            let now = self.now();
            let mut state = self.state.borrow_mut();
            state.routes = update.routes;
            state.addresses = update.addresses;
            state.ready = update.ready;
            state.cut_off_until = update.cut_off_until;
            state.set_sharers(now, update.sharers);
            state.set_routables(now, update.routables);
        }
    }

    /// Lets time pass, for ever.
    pub(crate) async fn tick(self: Rc<Self>) {
        loop {
            smol::Timer::after(TICK).await;
            let still = self.state.borrow_mut().tick(self.now());
            for name in still {
                self.suspected(&name, "streams stand still");
            }
            self.metrics.queued.set(self.state.borrow().queued() as i64);
            self.notify_offered();
        }
    }

    fn notify_offered(&self) {
        self.ticks.set(self.ticks.get().wrapping_add(1));
        if !self.ticks.get().is_multiple_of(TICKS_PER_OFFERED) {
            return;
        }
        let offered = self.state.borrow_mut().take_offered();
        if !offered.is_empty() {
            self.notify_control(TrafficReport::Offered(offered));
        }
    }

    /// Lets a request in; the receiver says where it goes.
    pub(crate) fn enter(&self, ask: &Ask) -> (Ticket, Receiver<Instruction>) {
        if !self.seen_first.replace(true) {
            self.notify_control(TrafficReport::FirstRequest);
        }
        // Room for a cancel and for what follows it.
        let (sender, instructions) = async_channel::bounded(4);
        let ticket = self.state.borrow_mut().enter(self.now(), ask, sender);
        (ticket, instructions)
    }

    /// A stream has given its first event, or a plain answer its head.
    pub(crate) fn started(&self, ticket: Ticket, is_stream: bool) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if let Some(present) = state.present.get_mut(&ticket)
            && is_stream
            && !present.streaming
            && let Some(name) = &present.at
        {
            present.streaming = true;
            state.progress.begun(now, name);
        }
        state.tell(ticket, |pool, out| pool.started(now, ticket, out));
    }

    /// An event of a stream has come.
    pub(crate) fn progressed(&self, name: &RoutableName) {
        let now = self.now();
        self.state.borrow_mut().progress.event(now, name);
    }

    /// A target has told its load.
    pub(crate) fn reported(&self, ticket: Ticket, name: &RoutableName, load: ReportedLoad) {
        let now = self.now();
        self.state.borrow_mut().tell(ticket, |pool, out| pool.reported(now, name, load, out));
    }

    /// The caller has the whole answer.
    pub(crate) fn finished(&self, ticket: Ticket, events: u32, ask: &Ask) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.tell(ticket, |pool, out| {
            let allowed = ask.events_allowed(pool.tokens_per_event);
            pool.finished(now, ticket, (events, allowed), out);
        });
        state.leave(ticket);
    }

    /// An attempt is over without a whole answer; an instruction follows.
    pub(crate) fn broken(&self, ticket: Ticket, verdict: Verdict) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if let Some(present) = state.present.get_mut(&ticket) {
            if present.streaming
                && let Some(name) = &present.at
            {
                state.progress.ended(name);
            }
            present.streaming = false;
            present.at = None;
        }
        state.tell(ticket, |pool, out| pool.broken(now, ticket, verdict, out));
    }

    /// The request is over without an answer of a target.
    pub(crate) fn gone(&self, ticket: Ticket) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.tell(ticket, |pool, out| pool.gone(now, ticket, out));
        state.leave(ticket);
    }

    /// Forgets a request that the policy has refused.
    pub(crate) fn refused(&self, ticket: Ticket) {
        self.state.borrow_mut().leave(ticket);
    }

    /// Keeps requests away from what stands still, and tells the control thread.
    pub(crate) fn suspected(&self, name: &RoutableName, why: &'static str) {
        self.state.borrow_mut().suspect(self.now(), name);
        let RoutableName::Replica(key) = name else { return };
        info!(self.log, "replica suspected";
            "replica" => key.replica.as_str(), "generation" => key.generation.get(), "why" => why);
        self.notify_control(TrafficReport::Suspected(key.clone()));
    }

    /// Keeps new requests away from a replica whose head refuses them for want of a member.
    ///
    /// Guards against streams broken for nothing: a head that finishes its work refuses in the same
    /// words as one that has lost a member, and what it has goes on to its end. A head that has lost
    /// one breaks its streams off itself.
    pub(crate) fn refuses(&self, name: &RoutableName) {
        self.state.borrow_mut().keep_away(self.now(), name);
        let RoutableName::Replica(key) = name else { return };
        info!(self.log, "replica refuses";
            "replica" => key.replica.as_str(), "generation" => key.generation.get());
    }

    /// Tells the control thread; it reads faster than requests come, and a loss is only a delay.
    pub(crate) fn notify_control(&self, news: TrafficReport) {
        self.news.try_send(news).unwrap_or_default();
    }
}
