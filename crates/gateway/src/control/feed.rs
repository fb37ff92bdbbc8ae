use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use celeryhaven_clock::BootClock;
use celeryhaven_fleet::{RelayAnswer, StoreContact};
use celeryhaven_http::ConnectionPool;
use celeryhaven_store::StoreCodec;
use celeryhaven_types::NodeName;
use celeryhaven_types::store::{ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use rand::Rng;
use rand::rngs::SmallRng;
use smol::Timer;

use crate::control::counted_store::CountedStore;
use crate::control::event::{ControlEvent, FeedKind, FeedUpdate};
use crate::control::feed_conditions::{FeedConditions, FleetScale};
use crate::control::relay::{
    ANSWER_SLACK_MS, DemandReport, PeerAddress, RelayRequest, RelayState, Source, WaitFor,
    poll_relay,
};

/// Initial pause after a failed store call; it doubles with each consecutive failure.
///
/// Rejected calls count against the rate limit that all nodes share. The limit for relays is lower,
/// because their followers depend on them to detect that the store is available again.
const RETRY_PAUSE_MS: u64 = 200;
const RETRY_PAUSE_MS_MAX: u64 = 3_000;
const RELAY_RETRY_PAUSE_MS_MAX: u64 = 400;

/// Pause before a stale relay is polled again while the store must not be called.
const STALE_RELAY_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Pause of a follower after an update, so that changes in quick succession are applied together.
const FOLLOWER_BATCH_PAUSE: Duration = Duration::from_millis(150);

/// How long a starting node waits for the records of the other nodes, and how often it checks.
const NODES_WAIT_MAX: Duration = Duration::from_millis(1_500);
const NODES_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How often a starting node checks whether the scale of the fleet is known.
const SCALE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How often a node of a small fleet checks whether it has grown.
const GROWTH_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after an update from the store, so that changes in quick succession are fetched together.
///
/// The pause grows with the fleet to limit its total call rate, and is bounded because a stopping
/// target must be known to all nodes within two seconds. All nodes together make some forty calls a
/// second.
const BATCH_MS_PER_NODE: u64 = 25;
const BATCH_MS_MIN: u64 = 200;
const BATCH_MS_MAX: u64 = 1_000;

/// Pause while this node forms replicas, because each step waits for the result of the last one.
const FORMING_BATCH_PAUSE: Duration = Duration::from_millis(20);

/// Pause of a relay, whose followers may be forming replicas.
const RELAY_BATCH_PAUSE: Duration = Duration::from_millis(100);

/// Timeout of a relay's watch at the store, in milliseconds.
///
/// A relay that is cut off still confirms its state to followers until its current watch is due, so
/// a long watch would delay their fallback to the store.
const RELAY_WATCH_MS: u64 = 800;

/// Timeout of a follower's long poll at a relay, in milliseconds.
///
/// A follower of an unreachable relay falls back to the store only after this time.
const RELAY_WAIT_MS: u64 = 700;

/// Time within which a change must reach every node, in milliseconds.
const PROPAGATION_MS_MAX: u64 = 2_000;

// A follower must fall back from an unreachable relay to the store within the propagation limit.
const _: () = assert!(RELAY_WAIT_MS + ANSWER_SLACK_MS + RELAY_WATCH_MS < PROPAGATION_MS_MAX);

/// Time without an answer of any relay after which a follower in a large fleet polls the store.
const RELAY_SILENCE_MAX: Duration = Duration::from_secs(3);

/// How long the store is polled directly after a relay did not answer or was stale.
const DIRECT_POLL_DURATION: Duration = Duration::from_secs(3);

/// Consecutive failures that count as a store outage.
const OUTAGE_FAILURES_MIN: u32 = 2;

/// Follows all objects of one kind: lists them once, then fetches the changes since the last
/// version.
///
/// A feed polls a relay if there is one, and falls back to the store if the relay does not answer
/// or is stale. Versions are assigned by the store, so a feed can switch between sources without a
/// new list.
pub(crate) struct Feed<W> {
    pub(crate) store: CountedStore<W>,
    pub(crate) connections: ConnectionPool,
    pub(crate) node: NodeName,
    pub(crate) prefix: ObjectKey,
    pub(crate) kind: FeedKind,
    pub(crate) wait_ms: u64,
    pub(crate) events: Sender<ControlEvent>,
    pub(crate) conditions: Rc<FeedConditions>,
    pub(crate) relay: RelayState,
    pub(crate) from: Option<ObjectVersion>,
    /// Era of the store at the last list.
    pub(crate) era: Option<u64>,
    pub(crate) failures: u32,
    /// When a relay has last answered.
    pub(crate) relay_answered_at: Instant,
    /// Index of the relay that is followed.
    pub(crate) relay_index: usize,
    /// End of the period in which the store is polled although there is a relay.
    pub(crate) direct_until: Option<Instant>,
    /// Earliest time of the next store call after a failure.
    pub(crate) store_retry_at: Instant,
    pub(crate) rng: SmallRng,
}

impl<W: StoreCodec> Feed<W> {
    /// Runs until the process ends.
    pub(crate) async fn follow(mut self) {
        while self.conditions.fleet_scale.get() == FleetScale::Unknown {
            Timer::after(SCALE_POLL_INTERVAL).await;
        }
        if self.conditions.fleet_scale.get() == FleetScale::Small {
            if self.kind != FeedKind::Nodes {
                self.poll_store().await;
                self.wait_for_nodes().await;
            }
            // A small fleet may grow.
            while self.kind == FeedKind::Nodes
                && self.conditions.fleet_scale.get() == FleetScale::Small
            {
                Timer::after(GROWTH_POLL_INTERVAL).await;
            }
        }
        loop {
            let relay = self.followed_relay();
            let may_use_store = self.from.is_some() || self.conditions.may_list_store();
            let is_direct = self.direct_until.is_some_and(|at| at > Instant::now());
            let may_poll_store = self.store_retry_at <= Instant::now();
            match relay {
                Some(relay) if !(is_direct && may_poll_store && may_use_store) => {
                    self.poll_relay(&relay).await;
                }
                _ if may_poll_store && may_use_store => self.poll_store().await,
                _ if may_use_store => {
                    Timer::at(self.store_retry_at).await;
                }
                _ => {
                    Timer::after(NODES_POLL_INTERVAL).await;
                }
            }
        }
    }

    fn followed_relay(&self) -> Option<PeerAddress> {
        let relays = self.conditions.relays.borrow();
        relays.get(self.relay_index % relays.len().max(1)).cloned()
    }

    /// Moves to the next relay, and lets the store be polled once all of them have failed.
    async fn relay_failed(&mut self) {
        self.relay_index += 1;
        let relays = self.conditions.relays.borrow().len().max(1);
        if !self.relay_index.is_multiple_of(relays) {
            return;
        }
        let may_poll_store = self.may_replace_relays();
        if may_poll_store {
            self.direct_until = Some(Instant::now() + DIRECT_POLL_DURATION);
        }
        if !may_poll_store || self.store_retry_at > Instant::now() || self.from.is_none() {
            Timer::after(STALE_RELAY_RETRY_PAUSE).await;
        }
    }

    /// Whether this node polls the store when its relays have failed.
    ///
    /// If the store turns the roots of a large fleet away, their relays take their place: hundreds
    /// of followers that polled the store themselves would exceed its rates.
    fn may_replace_relays(&self) -> bool {
        self.conditions.fleet_scale.get() != FleetScale::Large
            || self.conditions.is_relay.get()
            || self.relay_answered_at.elapsed() >= RELAY_SILENCE_MAX
    }

    /// Waits for the records of the other nodes, which determine the relay to follow.
    ///
    /// If all nodes start at once, they would otherwise all watch the store while every target
    /// changes.
    async fn wait_for_nodes(&self) {
        let started = Instant::now();
        while !self.conditions.nodes_known.get() && started.elapsed() < NODES_WAIT_MAX {
            Timer::after(NODES_POLL_INTERVAL).await;
        }
    }

    /// Polls a relay; a node that is a relay itself waits for confirmation rather than for a
    /// change.
    async fn poll_relay(&mut self, relay: &PeerAddress) {
        let is_relay = self.conditions.is_relay.get();
        let (wait_for, wait_ms) = match is_relay {
            true => (WaitFor::Contact, RELAY_WATCH_MS),
            false => (WaitFor::Change, RELAY_WAIT_MS),
        };
        let request = RelayRequest { kind: self.kind, from: self.from, wait_ms, wait_for };
        let report = self.demand_report();
        let reply = poll_relay(&self.connections, relay, &request, report.as_ref()).await;
        let answer = reply.map(|reply| {
            self.relay.demand.borrow_mut().apply_fleet_demand(BootClock.now(), reply.demand);
            reply.answer
        });
        if matches!(answer, Some(RelayAnswer::Listed { .. } | RelayAnswer::Changes { .. })) {
            self.relay_answered_at = Instant::now();
        }
        match answer {
            Some(RelayAnswer::Listed { version, objects, store }) => {
                let store = self.record_success(store);
                let is_restored = self.record_era(version);
                let update = FeedUpdate::Listed { version, objects, store, is_restored };
                self.apply(version, update, Source::Relay).await;
            }
            Some(RelayAnswer::Changes { version, changes, store }) => {
                let store = self.record_success(store);
                let is_new = !changes.is_empty();
                self.apply(version, FeedUpdate::Changed { changes, store }, Source::Relay).await;
                if is_new && !is_relay && !self.conditions.is_forming.get() {
                    Timer::after(FOLLOWER_BATCH_PAUSE).await;
                }
            }
            Some(RelayAnswer::Stale) | None => {
                self.relay_failed().await;
            }
        }
    }

    /// Returns the demand of this node and its followers; only one feed of a node reports it.
    fn demand_report(&self) -> Option<DemandReport> {
        (self.kind == FeedKind::Targets).then(|| {
            let demand = self.relay.demand.borrow_mut().sum(BootClock.now());
            DemandReport { node: self.node.clone(), demand }
        })
    }

    async fn poll_store(&mut self) {
        let request = match self.from {
            None => StoreRequest::List { prefix: self.prefix.clone() },
            Some(from) => {
                let wait_ms =
                    if self.conditions.is_relay.get() { RELAY_WATCH_MS } else { self.wait_ms };
                StoreRequest::Watch { prefix: self.prefix.clone(), from, wait_ms }
            }
        };
        match self.store.call(self.kind.store_call_kind(), &request).await {
            StoreReply::Listed { version, objects } => {
                let store = self.record_success(StoreContact::default());
                let is_restored = self.record_era(version);
                let update = FeedUpdate::Listed { version, objects, store, is_restored };
                self.apply(version, update, Source::Store).await;
            }
            StoreReply::Changes { version, changes } => {
                let store = self.record_success(StoreContact::default());
                let version = self.from.map_or(version, |from| from.max(version));
                let is_new = !changes.is_empty();
                self.apply(version, FeedUpdate::Changed { changes, store }, Source::Store).await;
                if is_new {
                    Timer::after(self.batch_pause()).await;
                }
            }
            StoreReply::TooOld => self.from = None,
            _ => self.record_failure().await,
        }
    }

    /// Records an update for the followers of this node and sends it to the control thread.
    async fn apply(&mut self, version: ObjectVersion, update: FeedUpdate, source: Source) {
        match self.conditions.is_relay.get() {
            true => self.relay.record(self.kind, (self.from, version), &update, source),
            false => self.relay.invalidate(self.kind),
        }
        self.from = Some(version);
        // A new relay lists all objects once to serve followers with older versions.
        if self.conditions.is_relay.get() && self.relay.lacks_list(self.kind) {
            self.from = None;
        }
        self.notify(update).await;
    }

    fn batch_pause(&self) -> Duration {
        let fleet_pause_ms = self.conditions.nodes.get() * BATCH_MS_PER_NODE;
        match (self.conditions.is_relay.get(), self.conditions.is_forming.get()) {
            (true, _) => RELAY_BATCH_PAUSE,
            (false, true) => FORMING_BATCH_PAUSE,
            _ => Duration::from_millis(fleet_pause_ms.clamp(BATCH_MS_MIN, BATCH_MS_MAX)),
        }
    }

    /// Resets the failure count; returns the store contact, including an outage that this node
    /// observed.
    fn record_success(&mut self, reported: StoreContact) -> StoreContact {
        let was_unavailable = self.failures >= OUTAGE_FAILURES_MIN;
        self.failures = 0;
        let returned_ms_ago = reported.returned_ms_ago.or(was_unavailable.then_some(0));
        StoreContact { returned_ms_ago, ..reported }
    }

    /// Records the era of the store at a list; returns whether it is later than that of the last.
    fn record_era(&mut self, version: ObjectVersion) -> bool {
        let era = version.era();
        self.conditions.era.set(self.conditions.era.get().max(era));
        self.era.replace(era).is_some_and(|before| before < era)
    }

    async fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
        self.store_retry_at = Instant::now() + self.retry_pause();
        self.notify(FeedUpdate::Failed).await;
    }

    /// Returns the pause until the next store call, randomised to avoid synchronized bursts.
    fn retry_pause(&mut self) -> Duration {
        let max_ms = if self.conditions.is_relay.get() {
            RELAY_RETRY_PAUSE_MS_MAX
        } else {
            RETRY_PAUSE_MS_MAX
        };
        let doublings = self.failures.saturating_sub(1).min(8);
        let retry_pause_ms = (RETRY_PAUSE_MS << doublings).min(max_ms) as f64;
        Duration::from_secs_f64(retry_pause_ms * self.rng.random_range(0.75..1.25) / 1_000.0)
    }

    /// The control thread runs as long as its feeds, so a send cannot fail.
    async fn notify(&self, update: FeedUpdate) {
        self.events.send(ControlEvent::Feed(self.kind, update)).await.unwrap_or_default();
    }
}
