use std::time::{Duration, Instant};

use async_channel::Sender;
use celeryhaven_peers::{NodeRecord, heartbeat_interval_ms};
use celeryhaven_store::{Freshness, StoreCodec};
use celeryhaven_types::store::{ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use smol::Timer;

use crate::adapter::Adapter;
use crate::control::counted_store::{CountedStore, StoreCallKind};
use crate::control::event::ControlEvent;
use crate::control::feed_conditions::{FeedConditions, FleetScale};
use crate::control::{Control, ControlParts};

/// Prefix of the node records in the store.
pub(crate) const NODES_PREFIX: &str = "nodes/";

/// Interval between two reads of all node records.
///
/// Probes detect failed nodes sooner than these reads.
const READ_INTERVAL: Duration = Duration::from_millis(3_000);

/// How often a node that has not read any records checks whether the store has answered.
const ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Delays before the first reads after startup, which do not accept stale results.
///
/// Without them, nodes that start together would each coordinate every domain until the first
/// periodic read.
const INITIAL_READ_DELAYS: [Duration; 2] =
    [Duration::from_millis(300), Duration::from_millis(1_000)];

/// Attempts of the first write, which fails if the store has a record of an earlier start.
const INITIAL_WRITES_MAX: u32 = 3;

/// Pause before a failed heartbeat is written again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Writes this node's record and reads the records of all nodes.
pub(super) struct HeartbeatTask<W> {
    pub(super) store: CountedStore<W>,
    pub(super) events: Sender<ControlEvent>,
    pub(super) record: NodeRecord,
    key: ObjectKey,
    version: Option<ObjectVersion>,
    /// Time of the last write, and whether it succeeded.
    written_at: Instant,
    is_written: bool,
    /// Whether the store has a record of an earlier start of this node.
    pub(super) has_started_before: bool,
}

impl<A: Adapter> Control<A> {
    /// Runs the heartbeats until the process ends.
    pub(super) fn run_heartbeats(&self) -> impl Future<Output = ()> + 'static {
        let record = own_record(&self.parts);
        let key = ObjectKey::new(format!("{NODES_PREFIX}{}", record.node));
        let (store, events) = (self.store.clone(), self.parts.events.0.clone());
        let (written_at, is_written) = (Instant::now(), false);
        let mut task = HeartbeatTask {
            store,
            events,
            record,
            key,
            version: None,
            written_at,
            is_written,
            has_started_before: false,
        };
        let conditions = self.feed_conditions.clone();
        async move {
            for _ in 0..INITIAL_WRITES_MAX {
                task.write().await;
                if task.is_written {
                    break;
                }
            }
            let [first_pause, second_pause] = INITIAL_READ_DELAYS;
            // After a restart the records of the others are in the store already.
            if !task.has_started_before {
                Timer::after(first_pause).await;
            }
            let mut scale = task.find_scale().await;
            if scale == FleetScale::Small {
                conditions.fleet_scale.set(scale);
                task.pause_before_read(second_pause, &conditions).await;
                scale = task.read_first_page(Freshness::Latest).await;
            }
            while scale != FleetScale::Large {
                task.pause_before_read(READ_INTERVAL, &conditions).await;
                task.write_if_due(&conditions).await;
                scale = task.read_first_page(Freshness::Stale).await;
            }
            task.wait_for_relays(&conditions).await;
            loop {
                Timer::after(READ_INTERVAL).await;
                task.write_if_due(&conditions).await;
            }
        }
    }
}

/// Returns this node's record before its first heartbeat.
pub(super) fn own_record<A: Adapter>(parts: &ControlParts<A>) -> NodeRecord {
    let settings = &parts.settings;
    NodeRecord {
        node: settings.node.clone(),
        data_centre: settings.data_centre.clone(),
        caller_address: settings.caller_listen,
        ready_address: settings.ready_listen,
        peer_address: settings.peer_listen,
        token: parts.token.clone(),
        boot: parts.boot,
        heartbeat: 0,
        ready: true,
        millicores: (settings.cores * 1_000.0) as u32,
    }
}

impl<W: StoreCodec> HeartbeatTask<W> {
    /// Waits before the next read of the records of all nodes.
    ///
    /// A node that knows no other one follows the store alone. It reads as soon as the store answers a feed,
    /// which it may do for a moment only.
    async fn pause_before_read(&self, pause: Duration, conditions: &FeedConditions) {
        let began = Instant::now();
        while !conditions.nodes_known.get() && began.elapsed() < pause {
            Timer::after(ANSWER_POLL_INTERVAL).await;
            if !conditions.nodes_known.get() && conditions.store_answered.take() {
                self.read_first_page(Freshness::Latest).await;
            }
        }
        Timer::after(pause.saturating_sub(began.elapsed())).await;
    }

    /// Whether the next heartbeat is due in a fleet of `nodes` nodes.
    fn is_due(&self, nodes: u64) -> bool {
        let pause = match self.is_written {
            true => Duration::from_millis(heartbeat_interval_ms(nodes)),
            false => WRITE_RETRY_DELAY,
        };
        self.written_at.elapsed() >= pause
    }

    async fn write_if_due(&mut self, conditions: &FeedConditions) {
        // A store that came back from a copy may have lost the record: the first write finds out what
        // it holds.
        let is_lost = self.version.is_some_and(|version| version.era() < conditions.era.get());
        if is_lost {
            self.write().await;
        }
        if is_lost && !self.is_written || self.is_due(conditions.nodes.get()) {
            self.write().await;
        }
    }

    async fn write(&mut self) {
        self.record.heartbeat += 1;
        self.written_at = Instant::now();
        self.is_written = false;
        let (key, value) = (self.key.clone(), serde_json::to_string(&self.record));
        let value = value.unwrap_or_default().into();
        let request = match self.version {
            Some(version) => StoreRequest::Update { key, version, value },
            None => StoreRequest::Create { key, value },
        };
        self.version = match self.store.call(StoreCallKind::Nodes, &request).await {
            StoreReply::Written { version } => {
                self.is_written = true;
                Some(version)
            }
            // The write is repeated with the same version; if it did take effect, the repetition
            // conflicts.
            reply if !reply.is_processed() => {
                self.notify(ControlEvent::StoreCallFailed).await;
                self.version
            }
            // The record was written by another start of this node, or by a write whose answer was
            // lost.
            _ => match self
                .store
                .call(StoreCallKind::Nodes, &StoreRequest::Get { key: self.key.clone() })
                .await
            {
                StoreReply::Found(object) => {
                    self.has_started_before = true;
                    Some(object.version)
                }
                _ => None,
            },
        };
    }

    /// The control thread runs as long as its heartbeats, so a send cannot fail.
    pub(super) async fn notify(&self, event: ControlEvent) {
        self.events.send(event).await.unwrap_or_default();
    }
}
