use std::cell::{Cell, RefCell};
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
use crate::control::relay::{
    ANSWER_SLACK_MS, DemandReport, Question, Relay, RelayAddress, Source, Until, ask_relay,
};

/// Pause after a call that the store did not answer or refused; it doubles with each failure.
///
/// Load: a store that is away while every node asks. Harm: refused calls count against the rate that
/// all nodes share, and are priced. Limit: relays find out soon that the store is back, and those that
/// follow one ask it in between.
const PAUSE_MS: u64 = 200;
const PAUSE_MS_MAX: u64 = 3_000;
const RELAY_PAUSE_MS_MAX: u64 = 400;

/// Pause before a relay that vouches for nothing is asked again while the store is not to be.
const ASK_AGAIN: Duration = Duration::from_millis(400);

/// Pause of a follower after changes, so that those that come together are taken over together.
const GATHER_FOLLOWER: Duration = Duration::from_millis(150);

/// How long a node that has just started waits to know the others, before it watches the store.
const NODES_WAIT: Duration = Duration::from_millis(1_500);
const NODES_POLL: Duration = Duration::from_millis(50);

/// Pause between two answers of a watch, so that changes that come together are fetched together.
///
/// Load: replicas that form, with several changes each. Harm: a call for each change from every
/// node. Limit: for each node this much, so that all nodes together make some forty calls a second,
/// within bounds: a few hundred milliseconds are seen at once, and a target that leaves must be known
/// within two seconds.
const GATHER_MS_PER_NODE: u64 = 25;
const GATHER_MS_MIN: u64 = 200;
const GATHER_MS_MAX: u64 = 1_000;

/// The same while this node forms replicas, each step of which waits for the last one to show.
const GATHER_FORMING: Duration = Duration::from_millis(20);

/// The same on a relay, whose followers wait for it; some form replicas.
const GATHER_RELAY: Duration = Duration::from_millis(100);

/// How long a watch of a relay waits at the store, in milliseconds.
///
/// A relay that is cut off from the store vouches for its followers until one of its watches should
/// have answered, so its watches are short: followers learn of a change within two seconds all the
/// same.
const RELAY_WATCH_MS: u64 = 800;

/// How long a question to a relay waits there, in milliseconds.
///
/// Guards against a relay that is cut off in silence: with two seconds and a half for an answer its
/// followers missed a configuration for longer than it may take; now they ask the store after one.
const RELAY_WAIT_MS: u64 = 700;

/// Time within which a change must be in force on every node, in milliseconds.
const IN_FORCE_MS: u64 = 2_000;

// A relay that was cut off in silence is given up, and the store asked, well before that.
const _: () = assert!(RELAY_WAIT_MS + ANSWER_SLACK_MS + RELAY_WATCH_MS < IN_FORCE_MS);

/// How long the store is asked after a relay did not answer or vouched for nothing.
const DIRECT: Duration = Duration::from_secs(3);

/// Failures in a row after which the store counts as having been away.
const FAILURES_OF_OUTAGE: u32 = 2;

/// What decides whom feeds ask, and how often.
#[derive(Debug, Default)]
pub(crate) struct FeedPace {
    /// Whether this node forms replicas now.
    pub(crate) is_forming: Cell<bool>,
    /// Whether other nodes follow this one.
    pub(crate) is_relay: Cell<bool>,
    /// Live nodes, all of which ask.
    pub(crate) nodes: Cell<u64>,
    /// The relay to follow; the store itself where there is none.
    pub(crate) relay: RefCell<Option<RelayAddress>>,
    /// Whether the other nodes' records were read.
    pub(crate) nodes_known: Cell<bool>,
}

/// Follows the objects of one kind, for ever: a list, then what is new since its version.
///
/// A node asks a relay where there is one, and the store whenever that does not answer or vouches
/// for nothing. Versions are the store's, so it goes on where it stopped.
pub(crate) struct Feed<W> {
    pub(crate) store: CountedStore<W>,
    pub(crate) channels: ConnectionPool,
    pub(crate) node: NodeName,
    pub(crate) prefix: ObjectKey,
    pub(crate) kind: FeedKind,
    pub(crate) wait_ms: u64,
    pub(crate) events: Sender<ControlEvent>,
    pub(crate) pace: Rc<FeedPace>,
    pub(crate) relay: Relay,
    pub(crate) from: Option<ObjectVersion>,
    pub(crate) failures: u32,
    /// Until when the store is asked although there is a relay.
    pub(crate) direct_until: Option<Instant>,
    /// When the store may be asked again after it failed.
    pub(crate) store_due: Instant,
    pub(crate) rng: SmallRng,
}

impl<W: StoreCodec> Feed<W> {
    /// Follows for ever.
    pub(crate) async fn follow(mut self) {
        self.ask_store().await;
        self.wait_for_nodes().await;
        loop {
            let relay = self.pace.relay.borrow().clone();
            let is_direct = self.direct_until.is_some_and(|at| at > Instant::now());
            let may_ask_store = self.store_due <= Instant::now();
            match relay {
                Some(relay) if !(is_direct && may_ask_store) => self.ask_relay(&relay).await,
                _ if may_ask_store => self.ask_store().await,
                _ => {
                    Timer::at(self.store_due).await;
                }
            }
        }
    }

    /// Waits until the other nodes are known, and with them the relay to follow.
    ///
    /// Load: all nodes start at once, and every target changes several times in the first seconds.
    /// Harm: each node watches the store until it knows of a relay.
    async fn wait_for_nodes(&self) {
        let started = Instant::now();
        while !self.pace.nodes_known.get() && started.elapsed() < NODES_WAIT {
            Timer::after(NODES_POLL).await;
        }
    }

    /// Asks a relay; a node that is one itself hears through it of the store.
    async fn ask_relay(&mut self, relay: &RelayAddress) {
        let is_relay = self.pace.is_relay.get();
        let (until, wait_ms) = match is_relay {
            true => (Until::Contact, RELAY_WATCH_MS),
            false => (Until::News, RELAY_WAIT_MS),
        };
        let question = Question { kind: self.kind, from: self.from, wait_ms, until };
        let report = self.demand_report();
        let reply = ask_relay(&self.channels, relay, &question, report.as_ref()).await;
        let answer = reply.map(|reply| {
            self.relay.demand.borrow_mut().apply_fleet_demand(BootClock.now(), reply.demand);
            reply.answer
        });
        match answer {
            Some(RelayAnswer::Listed { version, objects, store }) => {
                let store = self.succeeded(store);
                self.apply(version, FeedUpdate::Listed { objects, store }, Source::Relay).await;
            }
            Some(RelayAnswer::Changes { version, changes, store }) => {
                let store = self.succeeded(store);
                let is_new = !changes.is_empty();
                self.apply(version, FeedUpdate::Changed { changes, store }, Source::Relay).await;
                if is_new && !is_relay && !self.pace.is_forming.get() {
                    Timer::after(GATHER_FOLLOWER).await;
                }
            }
            Some(RelayAnswer::Stale) | None => {
                self.direct_until = Some(Instant::now() + DIRECT);
                if self.store_due > Instant::now() {
                    Timer::after(ASK_AGAIN).await;
                }
            }
        }
    }

    /// The demand of this node and of those that follow it; one feed of a node reports it.
    fn demand_report(&self) -> Option<DemandReport> {
        (self.kind == FeedKind::Targets).then(|| {
            let demand = self.relay.demand.borrow_mut().sum(BootClock.now());
            DemandReport { node: self.node.clone(), demand }
        })
    }

    async fn ask_store(&mut self) {
        let request = match self.from {
            None => StoreRequest::List { prefix: self.prefix.clone() },
            Some(from) => {
                let wait_ms = if self.pace.is_relay.get() { RELAY_WATCH_MS } else { self.wait_ms };
                StoreRequest::Watch { prefix: self.prefix.clone(), from, wait_ms }
            }
        };
        match self.store.call(self.kind.store_kind(), &request).await {
            StoreReply::Listed { version, objects } => {
                let store = self.succeeded(StoreContact::default());
                self.apply(version, FeedUpdate::Listed { objects, store }, Source::Store).await;
            }
            StoreReply::Changes { version, changes } => {
                let store = self.succeeded(StoreContact::default());
                let version = self.from.map_or(version, |from| from.max(version));
                let is_new = !changes.is_empty();
                self.apply(version, FeedUpdate::Changed { changes, store }, Source::Store).await;
                if is_new {
                    Timer::after(self.gather()).await;
                }
            }
            StoreReply::TooOld => self.from = None,
            _ => self.failed().await,
        }
    }

    /// Keeps what was heard for nodes that follow this one, and tells the control thread.
    async fn apply(&mut self, version: ObjectVersion, news: FeedUpdate, source: Source) {
        match self.pace.is_relay.get() {
            true => self.relay.record(self.kind, (self.from, version), &news, source),
            false => self.relay.silence(self.kind),
        }
        self.from = Some(version);
        // A node that has become a relay lists all once, for those who are behind it.
        if self.pace.is_relay.get() && self.relay.lacks_list(self.kind) {
            self.from = None;
        }
        self.notify(news).await;
    }

    fn gather(&self) -> Duration {
        let for_all_ms = self.pace.nodes.get() * GATHER_MS_PER_NODE;
        match (self.pace.is_relay.get(), self.pace.is_forming.get()) {
            (true, _) => GATHER_RELAY,
            (false, true) => GATHER_FORMING,
            _ => Duration::from_millis(for_all_ms.clamp(GATHER_MS_MIN, GATHER_MS_MAX)),
        }
    }

    /// What was heard of the store, this node's own failures before included.
    fn succeeded(&mut self, told: StoreContact) -> StoreContact {
        let was_away = self.failures >= FAILURES_OF_OUTAGE;
        self.failures = 0;
        let returned_ms_ago = told.returned_ms_ago.or(was_away.then_some(0));
        StoreContact { returned_ms_ago, ..told }
    }

    async fn failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
        self.store_due = Instant::now() + self.pause();
        self.notify(FeedUpdate::Failed).await;
    }

    /// Time until the store is asked again, spread so that nodes do not ask at the same moment.
    fn pause(&mut self) -> Duration {
        let max_ms = if self.pace.is_relay.get() { RELAY_PAUSE_MS_MAX } else { PAUSE_MS_MAX };
        let doubled = self.failures.saturating_sub(1).min(8);
        let pause_ms = (PAUSE_MS << doubled).min(max_ms) as f64;
        Duration::from_secs_f64(pause_ms * self.rng.random_range(0.75..1.25) / 1_000.0)
    }

    /// The control thread lives as long as its feeds.
    async fn notify(&self, news: FeedUpdate) {
        self.events.send(ControlEvent::Feed(self.kind, news)).await.unwrap_or_default();
    }
}
