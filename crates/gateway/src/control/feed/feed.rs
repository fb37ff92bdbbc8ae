use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use celeryhaven_clock::BootClock;
use celeryhaven_fleet::StoreContact;
use celeryhaven_sources::Source;
use celeryhaven_store::StoreCodec;
use celeryhaven_types::TimeMs;
use celeryhaven_types::store::ObjectVersion;
use rand::Rng;
use rand::rngs::SmallRng;
use slog::Logger;
use smol::{LocalExecutor, Timer};

use crate::control::event::{ControlEvent, FeedKind, FeedOrigin, FeedUpdate};
use crate::control::feed::SharedSource;
use crate::control::feed::poller::{PollRequest, Polled, PolledObjects, Poller};
use crate::control::feed_conditions::FleetScale;
use crate::control::relay::WaitFor;

/// Initial pause after a failed poll, in milliseconds; it doubles with each consecutive failure.
///
/// Rejected calls count against the rate limit that all nodes share. The limit for relays is lower,
/// because their followers depend on them to detect that the store is available again.
const RETRY_PAUSE_MS: u64 = 200;
const RETRY_PAUSE_MS_MAX: u64 = 3_000;
const RELAY_RETRY_PAUSE_MS_MAX: u64 = 400;

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

/// Time for which a relay and a follower let their source wait for a change, in milliseconds.
///
/// The lead waits for less, and all feeds follow the source that it finds to answer.
const RELAYED_WAIT_MS: u64 = 1_000;

/// Consecutive failures that count as a store outage.
const OUTAGE_FAILURES_MIN: u32 = 2;

/// Follows all objects of one kind: lists them once, then fetches the changes since the last
/// version.
///
/// Versions are assigned by the store, so a feed can switch between sources without a new list.
pub(crate) struct Feed<W> {
    pub(crate) poller: Poller<W>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) wait_ms: u64,
    pub(crate) events: Sender<ControlEvent>,
    pub(crate) source: Rc<SharedSource>,
    pub(crate) log: Logger,
    pub(crate) from: Option<ObjectVersion>,
    /// Latest version that was read; what is older must not be applied.
    pub(crate) newest: ObjectVersion,
    /// Era of the store at the last list.
    pub(crate) era: Option<u64>,
    /// Consecutive failures of the store.
    pub(crate) failures: u32,
    pub(crate) rng: SmallRng,
}

/// What the outcome of a poll has led to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Applied {
    /// Pause before the next poll.
    pub(super) pause: Duration,
    pub(super) has_changes: bool,
    pub(super) confirmed_at: TimeMs,
}

impl<W: StoreCodec + Clone + 'static> Feed<W> {
    /// Runs until the process ends.
    pub(crate) async fn follow(mut self) {
        let kind = self.poller.kind;
        self.start().await;
        match kind.is_lead() {
            true => self.lead().await,
            false => self.follow_lead().await,
        }
    }

    async fn start(&mut self) {
        let conditions = self.poller.conditions.clone();
        while conditions.fleet_scale.get() == FleetScale::Unknown {
            Timer::after(SCALE_POLL_INTERVAL).await;
        }
        if conditions.fleet_scale.get() == FleetScale::Small {
            if self.poller.kind != FeedKind::Nodes {
                self.list().await;
                self.wait_for_nodes().await;
            }
            // A small fleet may grow.
            while self.poller.kind == FeedKind::Nodes
                && conditions.fleet_scale.get() == FleetScale::Small
            {
                Timer::after(GROWTH_POLL_INTERVAL).await;
            }
        }
    }

    /// Waits for the records of the other nodes, which determine the relay to follow.
    ///
    /// If all nodes start at once, they would otherwise all watch the store while every target
    /// changes.
    async fn wait_for_nodes(&self) {
        let started = Instant::now();
        while !self.poller.conditions.nodes_known.get() && started.elapsed() < NODES_WAIT_MAX {
            Timer::after(NODES_POLL_INTERVAL).await;
        }
    }

    /// Reads from the source that the lead has found.
    async fn follow_lead(mut self) {
        loop {
            let (source, changed) = self.source.current();
            let pause = match source.filter(|source| self.may_poll(source)) {
                Some(source) => {
                    let request = self.request(source);
                    let poll = async { Some(self.poller.poll(&request).await) };
                    let abandon = async {
                        changed.recv().await.unwrap_or_default();
                        None
                    };
                    match smol::future::or(poll, abandon).await {
                        Some(polled) => self.process(&request, polled).await,
                        None => Duration::ZERO,
                    }
                }
                None => NODES_POLL_INTERVAL,
            };
            let wait = async {
                Timer::after(pause).await;
            };
            let skip = async { changed.recv().await.unwrap_or_default() };
            smol::future::or(wait, skip).await;
        }
    }

    /// Lists the objects at the store once.
    async fn list(&mut self) {
        let request = PollRequest { from: None, ..self.request(Source::Store) };
        let polled = self.poller.poll(&request).await;
        self.process(&request, polled).await;
    }

    fn request(&self, source: Source) -> PollRequest {
        let is_direct = source == Source::Store && !self.poller.conditions.is_relay.get();
        let wait_ms = if is_direct { self.wait_ms } else { RELAYED_WAIT_MS };
        let wait_for = WaitFor::Change;
        PollRequest {
            source,
            from: self.from,
            wait_ms,
            timeout_ms: None,
            wait_for,
            is_followed: true,
        }
    }

    /// Whether a source may be polled: complete lists of a large fleet are read from relays.
    pub(super) fn may_poll(&self, source: &Source) -> bool {
        let may_list = self.from.is_some() || self.poller.conditions.may_list_store();
        *source != Source::Store || may_list
    }

    /// Applies the outcome of a poll; returns the pause before the next one.
    async fn process(&mut self, request: &PollRequest, polled: Polled) -> Duration {
        match self.apply(request, polled).await {
            Some(applied) => applied.pause,
            None if request.source == Source::Store => {
                self.notify(FeedUpdate::Failed).await;
                self.retry_pause()
            }
            None => Duration::from_millis(RETRY_PAUSE_MS),
        }
    }

    /// Applies what a poll has brought; returns `None` if it has failed.
    pub(super) async fn apply(&mut self, request: &PollRequest, polled: Polled) -> Option<Applied> {
        let is_store = request.source == Source::Store;
        let (version, objects, contact, confirmed_at) = match polled {
            // Another poll has brought more meanwhile.
            Polled::Objects { .. } if request.from != self.from => return None,
            // A relay that has been listed anew may know less than this node.
            Polled::Objects { version, objects: PolledObjects::All(_), .. }
                if version < self.newest =>
            {
                return None;
            }
            Polled::Objects { version, objects, contact, confirmed_at } => {
                (version, objects, contact, confirmed_at)
            }
            Polled::TooOld => {
                self.from = None;
                let confirmed_at = BootClock.now().before(u64::MAX);
                return Some(Applied { pause: Duration::ZERO, has_changes: true, confirmed_at });
            }
            Polled::Failed => {
                self.failures += u32::from(is_store && request.is_followed);
                return None;
            }
        };
        if is_store {
            self.poller.conditions.store_answered.set(true);
        }
        let store = self.record_success(contact);
        let has_changes = !objects.is_empty();
        let origin = FeedOrigin {
            source: request.source.clone(),
            // A node that follows others is not known to be cut off from the store.
            reaches_store: is_store || !self.poller.conditions.relays.borrow().is_empty(),
            confirmed_at,
        };
        let update = match objects {
            PolledObjects::All(objects) => {
                let is_restored = self.record_era(version);
                FeedUpdate::Listed { version, objects, store, is_restored, origin }
            }
            PolledObjects::Changes(changes) => FeedUpdate::Changed { changes, store, origin },
        };
        self.record(version, &update, confirmed_at);
        self.notify(update).await;
        let pause = if has_changes { self.batch_pause(is_store) } else { Duration::ZERO };
        Some(Applied { pause, has_changes, confirmed_at })
    }

    /// Records an update for the nodes that read from this one.
    fn record(&mut self, version: ObjectVersion, update: &FeedUpdate, confirmed_at: TimeMs) {
        let conditions = &self.poller.conditions;
        let relay = &self.poller.relay;
        match conditions.is_asked.get() {
            true => {
                let confirmed_at = self.poller.kind.is_lead().then_some(confirmed_at);
                relay.record(self.poller.kind, (self.from, version), update, confirmed_at);
            }
            false => relay.invalidate(self.poller.kind),
        }
        self.newest = self.newest.max(version);
        self.from = Some(version);
        // A new relay lists all objects once to serve followers with older versions.
        if conditions.is_relay.get() && relay.lacks_list(self.poller.kind) {
            self.from = None;
        }
    }

    fn batch_pause(&self, is_store: bool) -> Duration {
        let conditions = &self.poller.conditions;
        let is_forming = conditions.is_forming.get();
        let fleet_pause_ms = conditions.nodes.get() * BATCH_MS_PER_NODE;
        match (is_store, conditions.is_relay.get()) {
            (true, true) => RELAY_BATCH_PAUSE,
            (true, false) if is_forming => FORMING_BATCH_PAUSE,
            (true, false) => {
                Duration::from_millis(fleet_pause_ms.clamp(BATCH_MS_MIN, BATCH_MS_MAX))
            }
            (false, false) if !is_forming => FOLLOWER_BATCH_PAUSE,
            (false, _) => Duration::ZERO,
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
        let known = &self.poller.conditions.era;
        known.set(known.get().max(era));
        self.era.replace(era).is_some_and(|before| before < era)
    }

    /// Returns the pause until the next store call, randomised to avoid synchronized bursts.
    fn retry_pause(&mut self) -> Duration {
        let max_ms = if self.poller.conditions.is_relay.get() {
            RELAY_RETRY_PAUSE_MS_MAX
        } else {
            RETRY_PAUSE_MS_MAX
        };
        let doublings = self.failures.saturating_sub(1).min(8);
        let retry_pause_ms = (RETRY_PAUSE_MS << doublings).min(max_ms) as f64;
        Duration::from_secs_f64(retry_pause_ms * self.rng.random_range(0.75..1.25) / 1_000.0)
    }

    /// The control thread runs as long as its feeds, so a send cannot fail.
    pub(super) async fn notify(&self, update: FeedUpdate) {
        self.events.send(ControlEvent::Feed(self.poller.kind, update)).await.unwrap_or_default();
    }
}
