use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use celeryhaven_clock::BootClock;
use celeryhaven_demand::{DemandMeter, ModelShares};
use celeryhaven_fleet::{FleetView, RouteTable};
use celeryhaven_http::{Listener, ServerLimits, StopSignal};
use celeryhaven_peers::Peers;
use celeryhaven_settings::GatewaySettings;
use celeryhaven_store::StoreClient;
use celeryhaven_telemetry::GatewayMetrics;
use celeryhaven_types::TimeMs;
use celeryhaven_types::store::ObjectKey;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{Logger, warn};
use smol::{LocalExecutor, Timer};

use crate::adapter::Adapter;
use crate::control::changes::Changes;
use crate::control::counted_store::CountedStore;
use crate::control::deciders::Deciders;
use crate::control::event::{ControlEvent, FeedKind};
use crate::control::feed::{Feed, FeedPace};
use crate::control::heartbeats::own_record;
use crate::control::relay::{Relay, answer_peer};
use crate::control::suspicions::{Suspicion, Suspicions};
use crate::control::targets::TargetCalls;
use crate::traffic::{OfferedWork, Routable, TrafficReport, TrafficUpdate};

/// Time between two looks at deciders.
const TICK: Duration = Duration::from_millis(100);

/// Time between two logs of the calls to the store, in milliseconds.
const LOG_CALLS_EVERY_MS: u64 = 5_000;

/// Time constant of the mean of offered work, in milliseconds.
const DEMAND_WINDOW_MS: u64 = 6_000;

/// What nodes that follow this one may take.
const PEER_LIMITS: ServerLimits =
    ServerLimits { header_bytes_max: 8 * 1024, idle: Duration::from_secs(30) };

/// What the control thread is made of.
pub(crate) struct ControlParts<A> {
    pub(crate) adapter: A,
    pub(crate) settings: GatewaySettings,
    pub(crate) client: StoreClient<A>,
    pub(crate) targets: TargetCalls<A>,
    pub(crate) boot: u64,
    /// Shown by nodes that follow this one.
    pub(crate) token: String,
    pub(crate) events: (Sender<ControlEvent>, Receiver<ControlEvent>),
    pub(crate) traffic: Sender<TrafficUpdate>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) log: Logger,
}

/// The control thread's state.
pub(crate) struct Control<A: Adapter> {
    pub(super) parts: ControlParts<A>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) store: CountedStore<A>,
    pub(super) routes: Option<Arc<RouteTable>>,
    pub(super) fleet: FleetView,
    pub(super) listed: bool,
    /// Everything that requests may be sent to.
    pub(super) routables: Arc<[Routable]>,
    /// What traffic was told last.
    pub(super) published: Option<TrafficUpdate>,
    pub(super) peers: Peers,
    pub(super) deciders: Deciders,
    pub(super) traffic_seen: bool,
    pub(super) leaving: bool,
    pub(super) store_away: bool,
    /// Until when this node counts as cut off from the store.
    pub(super) cut_off_until: Option<TimeMs>,
    pub(super) nodes_listed: bool,
    pub(super) pace: Rc<FeedPace>,
    pub(super) relay: Relay,
    pub(super) suspicions: Suspicions,
    pub(super) nodes_probed_at: TimeMs,
    pub(super) demand: DemandMeter,
    pub(super) shares: ModelShares,
    calls_logged_at: TimeMs,
}

impl<A: Adapter> Control<A> {
    /// Knows nothing yet.
    pub(crate) fn new(parts: ControlParts<A>, executor: Rc<LocalExecutor<'static>>) -> Self {
        let relay = Relay::new(&parts.token);
        let deciders = Deciders::new(parts.boot);
        let peers = Peers::new(parts.settings.node.clone()).with_own_record(&own_record(&parts));
        let store = CountedStore::new(parts.client.clone(), parts.metrics.clone());
        Self {
            parts,
            executor,
            store,
            routes: None,
            fleet: FleetView::new(),
            listed: false,
            routables: Arc::default(),
            published: None,
            peers,
            deciders,
            traffic_seen: false,
            leaving: false,
            store_away: false,
            cut_off_until: None,
            nodes_listed: false,
            pace: Rc::default(),
            relay,
            suspicions: Suspicions::default(),
            nodes_probed_at: TimeMs::new(0),
            demand: DemandMeter::new(DEMAND_WINDOW_MS),
            shares: ModelShares::new(),
            calls_logged_at: BootClock.now(),
        }
    }

    /// Answers nodes that follow this one, for ever.
    pub(crate) fn answer_peers(&self, socket: TcpListener) {
        let limits = Rc::new(Cell::new(PEER_LIMITS));
        let listener = match Listener::from_socket(socket, limits) {
            Ok(listener) => listener,
            Err(error) => {
                // Nodes that would follow this one ask the store instead.
                warn!(self.parts.log, "peers not answered"; "error" => error.to_string());
                return;
            }
        };
        let (relay, events) = (self.relay.clone(), self.parts.events.0.clone());
        let answer = move |request| answer_peer(relay.clone(), events.clone(), request);
        let serve = listener.serve(self.executor.clone(), StopSignal::default(), answer);
        self.executor.spawn(serve).detach();
    }

    /// Runs until the process ends.
    pub(crate) async fn run(mut self) {
        self.start_tasks();
        let events = self.parts.events.1.clone();
        while let Ok(event) = events.recv().await {
            let mut changes = self.handle(event);
            while let Ok(event) = events.try_recv() {
                changes = changes | self.handle(event);
            }
            self.follow_up(changes);
        }
    }

    fn start_tasks(&self) {
        self.start_feed(self.parts.adapter.targets_prefix(), FeedKind::Targets);
        let key = self.parts.adapter.configuration_key();
        let prefix = key.as_str().rsplit_once('/').map_or("", |(kind, _)| kind);
        self.start_feed(ObjectKey::new(format!("{prefix}/")), FeedKind::Configuration);
        let ticks = self.parts.events.0.clone();
        let tick = async move {
            while ticks.send(ControlEvent::Tick).await.is_ok() {
                Timer::after(TICK).await;
            }
        };
        self.executor.spawn(tick).detach();
        self.executor.spawn(self.heartbeats()).detach();
    }

    fn start_feed(&self, prefix: ObjectKey, kind: FeedKind) {
        let feed = Feed {
            store: self.store.clone(),
            node: self.parts.settings.node.clone(),
            prefix,
            kind,
            wait_ms: self.parts.settings.watch_wait_ms,
            events: self.parts.events.0.clone(),
            channels: self.parts.targets.channels.clone(),
            pace: self.pace.clone(),
            relay: self.relay.clone(),
            from: None,
            direct_until: None,
            store_due: Instant::now(),
            rng: SmallRng::seed_from_u64(self.parts.boot ^ kind as u64),
            failures: 0,
        };
        self.executor.spawn(feed.follow()).detach();
    }

    /// Takes one event.
    fn handle(&mut self, event: ControlEvent) -> Changes {
        let now = BootClock.now();
        match event {
            ControlEvent::Feed(kind, news) => self.apply_feed(now, kind, news),
            ControlEvent::Nodes(records) => {
                let changed = self.peers.apply_records(now, records);
                let first = !std::mem::replace(&mut self.nodes_listed, true);
                if self.peers.has_unprobed() {
                    self.nodes_probed_at = TimeMs::new(0);
                    self.probe_nodes(now);
                }
                Changes::nodes(changed | first)
            }
            ControlEvent::Probed { node, probe } => {
                Changes::nodes(self.peers.record_probe(now, &node, probe))
            }
            ControlEvent::Suspicion(suspicion) => {
                self.look_into(now, suspicion);
                Changes::FORMING
            }
            ControlEvent::NotServed => {
                self.cut_off(now);
                Changes::nodes(true)
            }
            ControlEvent::Forming(domain, event) => {
                self.forming(now, &domain, event);
                Changes::FORMING
            }
            ControlEvent::RecordVersion(domain, version) => {
                if let Some(decider) = self.deciders.domains.get_mut(&domain) {
                    decider.version = version;
                }
                Changes::NONE
            }
            ControlEvent::Traffic(news) => {
                self.traffic(now, news);
                Changes::FORMING
            }
            ControlEvent::Tick => {
                self.probe_nodes(now);
                self.log_store_calls(now);
                self.follow_demand(now);
                let expired = Changes::targets(self.fleet.expire(now));
                // Time alone may end what a node counts as, such as cut off from the store.
                expired | Changes::nodes(true) | Changes::FORMING
            }
            ControlEvent::Leave => {
                self.leaving = true;
                Changes::nodes(true)
            }
        }
    }

    /// Takes over work that callers have offered to this node.
    fn offered(&mut self, now: TimeMs, work: &[OfferedWork]) {
        work.iter().for_each(|offered| self.demand.add(now, &offered.model, offered.slot_ms));
    }

    fn log_store_calls(&mut self, now: TimeMs) {
        if now.since(self.calls_logged_at) >= LOG_CALLS_EVERY_MS {
            self.calls_logged_at = now;
            self.store.log_calls(&self.parts.log);
        }
    }

    /// Does what follows from changes.
    fn follow_up(&mut self, changes: Changes) {
        if changes.targets {
            self.routables = self.find_routables();
        }
        if changes.targets || changes.nodes {
            self.choose_domains();
            self.choose_relay();
            self.publish();
        }
        if changes.forming {
            self.step_deciders();
        }
    }

    fn traffic(&mut self, now: TimeMs, news: TrafficReport) {
        match news {
            TrafficReport::FirstRequest => self.traffic_seen = true,
            TrafficReport::Suspected(replica) => {
                self.suspect(now, Suspicion::StandsStill(replica));
            }
            TrafficReport::Accused(target) => self.suspect(now, Suspicion::Accused(target)),
            TrafficReport::Offered(work) => self.offered(now, &work),
        }
    }
}
