use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use celeryhaven_clock::BootClock;
use celeryhaven_demand::{DemandMeter, ModelShares};
use celeryhaven_fleet::{FleetView, RouteTable};
use celeryhaven_http::{Listener, ServerLimits, StopSignal};
use celeryhaven_load_quota::LoadQuota;
use celeryhaven_peers::{Peers, Standstill};
use celeryhaven_quarantine::{Quarantine, Standings};
use celeryhaven_settings::GatewaySettings;
use celeryhaven_store::StoreClient;
use celeryhaven_target_limits::TargetLimits;
use celeryhaven_telemetry::GatewayMetrics;
use celeryhaven_types::TimeMs;
use celeryhaven_types::store::{ObjectKey, ObjectVersion};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{Logger, warn};
use smol::{LocalExecutor, Timer};

use crate::adapter::Adapter;
use crate::control::advisories::ADVISORIES_PREFIX;
use crate::control::changes::Changes;
use crate::control::coordination::NODE_PROBE_INTERVAL_MS;
use crate::control::coordinators::Coordinators;
use crate::control::counted_store::CountedStore;
use crate::control::demand_shares::DemandShares;
use crate::control::directory::DirectoryState;
use crate::control::ends::Ends;
use crate::control::event::{ControlEvent, FeedKind};
use crate::control::feed::{Feed, Poller, SharedSource};
use crate::control::feed_conditions::{FeedConditions, FleetScale};
use crate::control::heartbeats::{NODES_PREFIX, own_record};
use crate::control::relay::{RelayState, answer_peer_request};
use crate::control::suspicions::{RecentSuspicions, Suspicion};
use crate::control::target_client::TargetClient;
use crate::control::unlisted::UnlistedProbes;
use crate::traffic::{
    Destination, OfferedLoad, SharedConfirmation, TargetLimitMap, TargetNotices, TrafficReport,
    TrafficUpdate,
};

/// Interval between two [`ControlEvent::Tick`] events.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two log lines on store calls, in milliseconds.
const STORE_CALL_LOG_INTERVAL_MS: u64 = 5_000;

/// Time constant of the average offered load, in milliseconds.
const DEMAND_TIME_CONSTANT_MS: u64 = 6_000;

/// Limits for connections of other nodes.
const PEER_SERVER_LIMITS: ServerLimits =
    ServerLimits { header_bytes_max: 8 * 1024, idle_timeout: Duration::from_secs(30) };

/// Dependencies and settings of the control thread.
pub(crate) struct ControlParts<A> {
    pub(crate) adapter: A,
    pub(crate) settings: GatewaySettings,
    pub(crate) client: StoreClient<A>,
    pub(crate) target_client: TargetClient<A>,
    pub(crate) boot: u64,
    /// Bearer token that nodes present when they follow this one.
    pub(crate) token: String,
    pub(crate) events: (Sender<ControlEvent>, Receiver<ControlEvent>),
    pub(crate) traffic: Sender<TrafficUpdate>,
    pub(crate) confirmation: SharedConfirmation,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) log: Logger,
}

/// State of the control thread.
pub(crate) struct Control<A: Adapter> {
    pub(super) parts: ControlParts<A>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) store: CountedStore<A>,
    pub(super) routes: Option<Arc<RouteTable>>,
    /// Whether the newest configuration could not be read.
    pub(super) is_config_unreadable: bool,
    pub(super) fleet: FleetView,
    pub(super) targets_listed: bool,
    /// All destinations of requests.
    pub(super) destinations: Arc<[Destination]>,
    /// Last update sent to the traffic thread.
    pub(super) published: Option<TrafficUpdate>,
    pub(super) peers: Peers,
    pub(super) coordinators: Coordinators,
    pub(super) load_quota: LoadQuota,
    /// Loads that waited at the last look because too many had begun.
    pub(super) loads_held_back: u32,
    pub(super) rng: SmallRng,
    pub(super) leaving: bool,
    pub(super) store_unavailable: bool,
    /// End of the period in which this node counts as cut off from the store.
    pub(super) cut_off_until: Option<TimeMs>,
    pub(super) nodes_listed: bool,
    pub(super) standstill: Standstill,
    pub(super) directory: DirectoryState,
    pub(super) feed_conditions: Rc<FeedConditions>,
    /// The source that all feeds follow.
    pub(super) source: Rc<SharedSource>,
    pub(super) relay: RelayState,
    pub(super) recent_suspicions: RecentSuspicions,
    pub(super) quarantine: Quarantine,
    pub(super) advisories_listed: bool,
    pub(super) evacuations_listed: bool,
    /// Last standings published to traffic.
    pub(super) standings: Arc<Standings>,
    pub(super) ends: Ends,
    pub(super) limits: TargetLimits,
    /// Last limits published to traffic.
    pub(super) node_limits: Arc<TargetLimitMap>,
    /// What targets have told this node about themselves.
    pub(super) notices: Arc<TargetNotices>,
    pub(super) nodes_probed_at: TimeMs,
    pub(super) demand: DemandMeter,
    pub(super) shares: ModelShares,
    pub(super) unlisted_probes: UnlistedProbes,
    pub(super) demand_shares: DemandShares,
    calls_logged_at: TimeMs,
}

impl<A: Adapter> Control<A> {
    /// Creates the control state before anything has been read from the store.
    pub(crate) fn new(parts: ControlParts<A>, executor: Rc<LocalExecutor<'static>>) -> Self {
        let relay = RelayState::new(&parts.token);
        let coordinators = Coordinators::new(parts.boot);
        let holder = format!("{}-{:x}", parts.settings.node, parts.boot);
        let load_quota = LoadQuota::new(holder, parts.settings.load_window_ms());
        let rng = SmallRng::seed_from_u64(parts.boot);
        let peers = Peers::new(parts.settings.node.clone()).with_own_record(&own_record(&parts));
        let store = CountedStore::new(parts.client.clone(), parts.metrics.clone());
        Self {
            parts,
            executor,
            store,
            routes: None,
            is_config_unreadable: false,
            fleet: FleetView::new(),
            targets_listed: false,
            destinations: Arc::default(),
            published: None,
            peers,
            coordinators,
            load_quota,
            loads_held_back: 0,
            rng,
            leaving: false,
            store_unavailable: false,
            cut_off_until: None,
            nodes_listed: false,
            standstill: Standstill::new(BootClock.now(), NODE_PROBE_INTERVAL_MS),
            directory: DirectoryState::default(),
            feed_conditions: Rc::default(),
            source: Rc::default(),
            relay,
            recent_suspicions: RecentSuspicions::default(),
            quarantine: Quarantine::new(),
            advisories_listed: false,
            evacuations_listed: false,
            standings: Arc::default(),
            ends: Ends::default(),
            limits: TargetLimits::new(),
            node_limits: Arc::default(),
            notices: Arc::default(),
            nodes_probed_at: TimeMs::new(0),
            demand: DemandMeter::new(DEMAND_TIME_CONSTANT_MS),
            shares: ModelShares::new(),
            unlisted_probes: UnlistedProbes::default(),
            demand_shares: DemandShares::default(),
            calls_logged_at: BootClock.now(),
        }
    }

    /// Answers requests of other nodes until the process ends.
    pub(crate) fn serve_peers(&self, socket: TcpListener) {
        let limits = Rc::new(Cell::new(PEER_SERVER_LIMITS));
        let listener = match Listener::from_socket(socket, limits) {
            Ok(listener) => listener,
            Err(error) => {
                // Nodes that would follow this one fall back to the store.
                warn!(self.parts.log, "peers not answered"; "error" => error.to_string());
                return;
            }
        };
        let (relay, events) = (self.relay.clone(), self.parts.events.0.clone());
        let answer = move |request| answer_peer_request(relay.clone(), events.clone(), request);
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
            self.process_changes(changes);
        }
    }

    fn start_tasks(&self) {
        self.start_feed(self.parts.adapter.targets_prefix(), FeedKind::Targets);
        let key = self.parts.adapter.configuration_key();
        let prefix = key.as_str().rsplit_once('/').map_or("", |(folder, _)| folder);
        self.start_feed(ObjectKey::new(format!("{prefix}/")), FeedKind::Configuration);
        self.start_feed(ObjectKey::new(ADVISORIES_PREFIX), FeedKind::Advisories);
        self.start_feed(self.parts.adapter.evacuations_prefix(), FeedKind::Evacuations);
        self.start_feed(ObjectKey::new(NODES_PREFIX), FeedKind::Nodes);
        let tick_sender = self.parts.events.0.clone();
        let send_ticks = async move {
            while tick_sender.send(ControlEvent::Tick).await.is_ok() {
                Timer::after(TICK_INTERVAL).await;
            }
        };
        self.executor.spawn(send_ticks).detach();
        self.executor.spawn(self.run_heartbeats()).detach();
    }

    fn start_feed(&self, prefix: ObjectKey, kind: FeedKind) {
        let poller = Poller {
            store: self.store.clone(),
            connections: self.parts.target_client.connections.clone(),
            node: self.parts.settings.node.clone(),
            prefix,
            kind,
            conditions: self.feed_conditions.clone(),
            relay: self.relay.clone(),
        };
        let feed = Feed {
            poller,
            executor: self.executor.clone(),
            wait_ms: self.parts.settings.watch_wait_ms,
            events: self.parts.events.0.clone(),
            source: self.source.clone(),
            log: self.parts.log.clone(),
            from: None,
            newest: ObjectVersion::default(),
            era: None,
            failures: 0,
            rng: SmallRng::seed_from_u64(self.parts.boot ^ kind as u64),
        };
        self.executor.spawn(feed.follow()).detach();
    }

    /// Applies an event; returns what it has changed.
    fn handle(&mut self, event: ControlEvent) -> Changes {
        let now = BootClock.now();
        if let Some(still_ms) = self.standstill.record_activity(now) {
            self.resume(still_ms);
        }
        match event {
            ControlEvent::Feed(kind, update) => self.apply_feed_update(now, kind, update),
            ControlEvent::Nodes(records) => {
                let changed = self.peers.apply_records(now, records);
                Changes::nodes(changed | self.record_nodes_listed(now))
            }
            ControlEvent::LargeFleet(records) => {
                self.join_large_fleet(&records);
                Changes::nodes(true)
            }
            ControlEvent::RelayDirectory(directory, version) => {
                self.apply_directory(directory, version);
                Changes::nodes(true)
            }
            ControlEvent::DirectoryWritten(stored) => {
                self.apply_written_directory(stored);
                Changes::nodes(true)
            }
            ControlEvent::Probed { node, probe } => {
                Changes::nodes(self.peers.record_probe(now, &node, probe))
            }
            ControlEvent::Suspicion(suspicion) => {
                self.investigate(now, suspicion);
                Changes::FORMING
            }
            ControlEvent::StoreCallFailed => {
                self.record_cut_off(now);
                Changes::nodes(true)
            }
            ControlEvent::LinksChanged => {
                // Results of calls that fail meanwhile must not reach the planners.
                self.update_coordinated_domains();
                Changes::nodes(true)
            }
            ControlEvent::Forming(domain, event) => {
                self.note_planner_probe(&event);
                self.handle_forming_event(now, &domain, event);
                Changes::FORMING
            }
            ControlEvent::RecordVersion(domain, planner, version) => {
                if let Some(coordinator) = self.coordinators.domains.get_mut(&domain)
                    && coordinator.planner.id() == planner
                {
                    coordinator.version = version;
                }
                Changes::NONE
            }
            ControlEvent::QuarantineWritten(write, outcome) => {
                self.record_quarantine_write(now, &write, outcome);
                Changes::nodes(true)
            }
            ControlEvent::EndsAsked(question, reply) => {
                self.answer_question(now, question, reply);
                Changes::nodes(true)
            }
            ControlEvent::EndsAnswered(node, answers) => {
                self.record_answers(now, &node, answers);
                Changes::nodes(true)
            }
            ControlEvent::EndFound(process, finding) => {
                self.record_found(now, &process, finding);
                Changes::nodes(true)
            }
            ControlEvent::UnlistedProbed(target, reachability) => {
                Changes::targets(self.record_unlisted_probe(now, &target, reachability))
            }
            ControlEvent::EndsDue => Changes::nodes(true),
            ControlEvent::EndSettled(process) => {
                self.record_settled(&process);
                Changes::nodes(true)
            }
            ControlEvent::CrashesSeen(seen, reply) => {
                self.learn_crashes(now, seen, reply);
                Changes::nodes(true)
            }
            ControlEvent::LimitWritten(write, outcome) => {
                self.record_limit_write(now, &write, outcome);
                Changes::nodes(true)
            }
            ControlEvent::LoadQuotaCalled(call, reply) => {
                self.record_load_quota_call(now, &call, reply);
                Changes::FORMING
            }
            ControlEvent::LoadQuotaDue => {
                self.call_load_quota(now);
                Changes::NONE
            }
            ControlEvent::Traffic(report) => {
                self.handle_traffic_report(now, report) | Changes::FORMING
            }
            ControlEvent::Tick => {
                self.probe_nodes(now);
                self.probe_unlisted_heads(now);
                self.log_store_calls(now);
                self.update_demand_shares(now);
                self.write_quarantine(now);
                self.write_limits(now);
                self.update_limits(now);
                self.publish_directory(now);
                let left = self.apply_departures(now) | self.expire_evacuations(now);
                let expired = Changes::targets(self.fleet.expire(now) | left);
                // The passing of time alone can change the state of a node, such as being cut off.
                expired | Changes::nodes(true) | Changes::FORMING
            }
            ControlEvent::Leave => {
                self.leaving = true;
                Changes::nodes(true)
            }
        }
    }

    /// Records that the records of all nodes are known; returns whether they were not before.
    pub(super) fn record_nodes_listed(&mut self, now: TimeMs) -> bool {
        let is_first = !std::mem::replace(&mut self.nodes_listed, true);
        // In a large fleet most nodes are never probed by this one.
        let is_large = self.feed_conditions.fleet_scale.get() == FleetScale::Large;
        if self.peers.has_unprobed() && (is_first || !is_large) {
            self.nodes_probed_at = TimeMs::new(0);
            self.probe_nodes(now);
        }
        is_first
    }

    /// Records the load that callers have offered to this node.
    fn record_offered_load(&mut self, now: TimeMs, loads: &[OfferedLoad]) {
        loads.iter().for_each(|load| self.demand.add(now, &load.model, load.slot_ms));
        if self.parts.settings.demand_shares {
            self.demand_shares.add(now, loads);
        }
    }

    fn log_store_calls(&mut self, now: TimeMs) {
        if now.since(self.calls_logged_at) >= STORE_CALL_LOG_INTERVAL_MS {
            self.calls_logged_at = now;
            self.store.log_calls(&self.parts.log);
        }
    }

    /// Updates the state that depends on what has changed.
    fn process_changes(&mut self, changes: Changes) {
        let answered = self.apply_unlisted_answers(BootClock.now());
        let changes = changes | Changes::targets(answered);
        if changes.targets {
            self.update_destinations();
        }
        if changes.targets || changes.nodes {
            self.update_coordinated_domains();
            self.update_upstream();
            self.process_ends(BootClock.now());
            self.publish();
        }
        if changes.forming {
            self.execute_planned_actions();
            self.request_loads(BootClock.now());
        }
        if self.remove_unreachable(BootClock.now()) {
            self.update_destinations();
            self.publish();
        }
        self.log_unlisted_changes();
    }

    fn update_destinations(&mut self) {
        self.destinations = self.find_destinations();
        self.parts.target_client.link_check.links.set_destinations(self.destinations.clone());
        self.update_limits(BootClock.now());
    }

    fn handle_traffic_report(&mut self, now: TimeMs, report: TrafficReport) -> Changes {
        let changes_advisories = matches!(
            report,
            TrafficReport::Crashed(_)
                | TrafficReport::EndSuspected(..)
                | TrafficReport::Completed(..)
                | TrafficReport::LimitNamed(_)
        );
        match report {
            TrafficReport::FirstRequest => {
                self.load_quota.record_caller();
                self.call_load_quota(now);
            }
            TrafficReport::Suspected(replica) => {
                self.handle_suspicion(now, Suspicion::Stalled(replica));
            }
            TrafficReport::LossReported(target) => {
                self.hasten_unlisted_probe(&target);
                self.handle_suspicion(now, Suspicion::LossReported(target));
            }
            TrafficReport::Offered(loads) => self.record_offered_load(now, &loads),
            TrafficReport::EndSuspected(query, reply) => self.check_end(now, query, reply),
            TrafficReport::Crashed(crashes) => self.report_crashes(now, crashes),
            TrafficReport::Completed(digest, sent_at) => {
                self.report_completed(now, digest, sent_at);
            }
            TrafficReport::LimitNamed(named) => self.observe_limit(now, &named),
            TrafficReport::TrialDue(digest, reply) => self.claim_trial(now, digest, reply),
        }
        Changes::nodes(changes_advisories)
    }
}
