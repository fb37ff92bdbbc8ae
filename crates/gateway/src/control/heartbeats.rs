use std::time::{Duration, Instant};

use async_channel::Sender;
use celeryhaven_peers::{NodeRecord, heartbeat_interval_ms};
use celeryhaven_store::{Freshness, StoreCodec};
use celeryhaven_types::store::{Object, ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use smol::Timer;

use crate::adapter::Adapter;
use crate::control::counted_store::{CountedStore, StoreCallKind};
use crate::control::directory::read_directory;
use crate::control::event::ControlEvent;
use crate::control::feed::{FeedConditions, FleetScale};
use crate::control::{Control, ControlParts};

/// Prefix of the node records in the store.
pub(crate) const NODES_PREFIX: &str = "nodes/";

/// Interval between two reads of all node records.
///
/// Probes detect failed nodes sooner than these reads.
const READ_INTERVAL: Duration = Duration::from_millis(3_000);

/// Delays before the first reads after startup, which do not accept stale results.
///
/// Without them, nodes that start together would each coordinate every domain until the first
/// periodic read.
const INITIAL_READ_DELAYS: [Duration; 2] =
    [Duration::from_millis(300), Duration::from_millis(1_000)];

/// Delay of a starting node's look at the scale of the fleet per capacity class below the first,
/// and the largest number of these delays.
const SCALE_READ_DELAY: Duration = Duration::from_millis(150);
const FIRST_CAPACITY_CLASS: u32 = 10;
const SCALE_READS_MAX: u32 = 3;
const SCALE_READ_DELAYS_MAX: u32 = 3;

/// Interval between two reads of the directory of relays by a starting node.
const DIRECTORY_READ_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which a starting node does not wait for the relays of a directory any longer.
const RELAYS_WAIT_MAX: Duration = Duration::from_millis(2_500);

/// Attempts of the first write, which fails if the store has a record of an earlier start.
const INITIAL_WRITES_MAX: u32 = 3;

/// Pause before a failed heartbeat is written again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Writes this node's record and reads the records of all nodes.
struct HeartbeatTask<W> {
    store: CountedStore<W>,
    events: Sender<ControlEvent>,
    record: NodeRecord,
    key: ObjectKey,
    version: Option<ObjectVersion>,
    /// Time of the last write, and whether it succeeded.
    written_at: Instant,
    is_written: bool,
}

impl<A: Adapter> Control<A> {
    /// Runs the heartbeats until the process ends.
    pub(super) fn run_heartbeats(&self) -> impl Future<Output = ()> + 'static {
        let record = own_record(&self.parts);
        let key = ObjectKey::new(format!("{NODES_PREFIX}{}", record.node));
        let (store, events) = (self.store.clone(), self.parts.events.0.clone());
        let (written_at, is_written) = (Instant::now(), false);
        let mut task =
            HeartbeatTask { store, events, record, key, version: None, written_at, is_written };
        let conditions = self.feed_conditions.clone();
        async move {
            for _ in 0..INITIAL_WRITES_MAX {
                task.write().await;
                if task.is_written {
                    break;
                }
            }
            let [first_pause, second_pause] = INITIAL_READ_DELAYS;
            Timer::after(first_pause).await;
            let mut scale = task.find_scale().await;
            if scale == FleetScale::Small {
                conditions.fleet_scale.set(scale);
                Timer::after(second_pause).await;
                scale = task.read_first_page(Freshness::Latest).await;
            }
            while scale != FleetScale::Large {
                Timer::after(READ_INTERVAL).await;
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
    /// Whether the next heartbeat is due in a fleet of `nodes` nodes.
    fn is_due(&self, nodes: u64) -> bool {
        let pause = match self.is_written {
            true => Duration::from_millis(heartbeat_interval_ms(nodes)),
            false => WRITE_RETRY_DELAY,
        };
        self.written_at.elapsed() >= pause
    }

    async fn write_if_due(&mut self, conditions: &FeedConditions) {
        if self.is_due(conditions.nodes.get()) {
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
                StoreReply::Found(object) => Some(object.version),
                _ => None,
            },
        };
    }

    /// Finds out whether the fleet is too large for each node to read the records of all nodes.
    ///
    /// Nodes with more processor time look first: they are the ones that publish the directory,
    /// and the others then need not read any records. If the store does not answer, the fleet
    /// counts as small: nothing can be read anyway.
    async fn find_scale(&self) -> FleetScale {
        if self.find_directory(Freshness::Stale).await {
            return FleetScale::Large;
        }
        let classes_below = FIRST_CAPACITY_CLASS.saturating_sub(self.record.capacity_class());
        Timer::after(SCALE_READ_DELAY * classes_below.min(SCALE_READ_DELAYS_MAX)).await;
        for _ in 0..SCALE_READS_MAX {
            // A stale read costs the store a tenth.
            for freshness in [Freshness::Stale, Freshness::Latest] {
                if self.find_directory(freshness).await {
                    return FleetScale::Large;
                }
            }
            let scale = self.read_first_page(Freshness::Latest).await;
            if scale != FleetScale::Unknown {
                return scale;
            }
            Timer::after(DIRECTORY_READ_INTERVAL).await;
        }
        FleetScale::Small
    }

    /// Reads the directory of relays; returns whether there is one.
    async fn find_directory(&self, freshness: Freshness) -> bool {
        let found = read_directory(&self.store, freshness).await;
        let is_found = found.is_some();
        if let Some((directory, version)) = found {
            self.notify(ControlEvent::RelayDirectory(directory, version)).await;
        }
        is_found
    }

    /// Reads the first records; if there are more, some of their nodes publish a directory.
    async fn read_first_page(&self, freshness: Freshness) -> FleetScale {
        let list = StoreRequest::List { prefix: ObjectKey::new(NODES_PREFIX) };
        let read = self.store.read_first_page(StoreCallKind::Nodes, &list, freshness);
        let (reply, has_more) = read.await;
        let StoreReply::Listed { objects, .. } = reply else {
            self.notify(ControlEvent::StoreCallFailed).await;
            return FleetScale::Unknown;
        };
        let read = |object: &Object| serde_json::from_str::<NodeRecord>(&object.value).ok();
        let records = objects.iter().filter_map(read).collect();
        match has_more {
            true => {
                self.notify(ControlEvent::LargeFleet(records)).await;
                FleetScale::Large
            }
            false => {
                self.notify(ControlEvent::Nodes(records)).await;
                FleetScale::Small
            }
        }
    }

    /// Reads the directory of relays until the records of all nodes have come from one.
    ///
    /// A directory whose relays do not answer is from before a restart of all nodes.
    async fn wait_for_relays(&self, conditions: &FeedConditions) {
        let mut started = Instant::now();
        while !conditions.nodes_known.get() {
            Timer::after(DIRECTORY_READ_INTERVAL).await;
            self.find_directory(Freshness::Stale).await;
            if started.elapsed() >= RELAYS_WAIT_MAX && !conditions.nodes_known.get() {
                started = Instant::now();
                self.read_first_page(Freshness::Latest).await;
            }
        }
    }

    /// The control thread runs as long as its heartbeats, so a send cannot fail.
    async fn notify(&self, event: ControlEvent) {
        self.events.send(event).await.unwrap_or_default();
    }
}
