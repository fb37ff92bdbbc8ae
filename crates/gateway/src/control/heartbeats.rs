use std::time::{Duration, Instant};

use async_channel::Sender;
use celeryhaven_peers::{NodeRecord, heartbeat_interval_ms};
use celeryhaven_store::StoreWire;
use celeryhaven_types::store::{Object, ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use smol::Timer;

use crate::adapter::Adapter;
use crate::control::counted_store::{CountedStore, StoreKind};
use crate::control::event::ControlEvent;
use crate::control::{Control, ControlParts};

/// Prefix of the nodes' records in the store.
pub(crate) const NODES_PREFIX: &str = "nodes/";

/// Time between two reads of all records.
///
/// Load: every node reads them. Harm: one call for each, though a cheap one. Limit: deciders that die
/// are noticed by probes, not by this.
const READ_EVERY: Duration = Duration::from_millis(3_000);

/// Pauses before the first reads of all records after a start, which read the newest ones.
///
/// Nodes that start together see each other within a second, instead of all taking every domain: all
/// have written their record before the first read, and those that were late before the second.
const FIRST_READS: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(1_000)];

/// Tries of the first write: one may meet the record of an earlier start.
const FIRST_WRITES_MAX: u32 = 3;

/// Time after which a heartbeat that the store did not serve is written again.
const WRITE_AGAIN: Duration = Duration::from_millis(1_500);

/// What writes this node's record.
struct Heartbeat<W> {
    store: CountedStore<W>,
    events: Sender<ControlEvent>,
    record: NodeRecord,
    key: ObjectKey,
    version: Option<ObjectVersion>,
    /// When the store was asked to write it last, and whether it did.
    written_at: Instant,
    is_written: bool,
}

impl<A: Adapter> Control<A> {
    /// Writes this node's record and reads all of them, for ever.
    pub(super) fn heartbeats(&self) -> impl Future<Output = ()> + 'static {
        let record = own_record(&self.parts);
        let key = ObjectKey::new(format!("{NODES_PREFIX}{}", record.node));
        let (store, events) = (self.store.clone(), self.parts.events.0.clone());
        let (written_at, is_written) = (Instant::now(), false);
        let mut heartbeat =
            Heartbeat { store, events, record, key, version: None, written_at, is_written };
        let pace = self.pace.clone();
        async move {
            for _ in 0..FIRST_WRITES_MAX {
                heartbeat.write().await;
                if heartbeat.is_written {
                    break;
                }
            }
            for pause in FIRST_READS {
                Timer::after(pause).await;
                heartbeat.read_all(true).await;
            }
            loop {
                Timer::after(READ_EVERY).await;
                if heartbeat.is_due(pace.nodes.get()) {
                    heartbeat.write().await;
                }
                heartbeat.read_all(false).await;
            }
        }
    }
}

/// This node's record before its first heartbeat.
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

impl<W: StoreWire> Heartbeat<W> {
    /// Whether it is to be written again, among so many nodes.
    fn is_due(&self, nodes: u64) -> bool {
        let pause = match self.is_written {
            true => Duration::from_millis(heartbeat_interval_ms(nodes)),
            false => WRITE_AGAIN,
        };
        self.written_at.elapsed() >= pause
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
        self.version = match self.store.call(StoreKind::Nodes, &request).await {
            StoreReply::Written { version } => {
                self.is_written = true;
                Some(version)
            }
            // The same write again; if this one took effect, it meets its own version.
            reply if !reply.is_served() => {
                self.notify(ControlEvent::NotServed).await;
                self.version
            }
            // Another start of this node has written it, or an answer was lost.
            _ => match self
                .store
                .call(StoreKind::Nodes, &StoreRequest::Get { key: self.key.clone() })
                .await
            {
                StoreReply::Found(object) => Some(object.version),
                _ => None,
            },
        };
    }

    /// Reads the records of all nodes; the newest ones, or some that may be seconds old.
    async fn read_all(&self, newest: bool) {
        let list = StoreRequest::List { prefix: ObjectKey::new(NODES_PREFIX) };
        let reply = match newest {
            true => self.store.call(StoreKind::Nodes, &list).await,
            false => self.store.read_stale(StoreKind::Nodes, &list).await,
        };
        match reply {
            StoreReply::Listed { objects, .. } => {
                let read = |object: &Object| serde_json::from_str::<NodeRecord>(&object.value).ok();
                self.notify(ControlEvent::Nodes(objects.iter().filter_map(read).collect())).await;
            }
            reply if !reply.is_served() => self.notify(ControlEvent::NotServed).await,
            _ => {}
        }
    }

    /// The control thread lives as long as its heartbeats.
    async fn notify(&self, event: ControlEvent) {
        self.events.send(event).await.unwrap_or_default();
    }
}
