use std::time::{Duration, Instant};

use async_channel::Sender;
use celeryhaven_peers::{NodeRecord, heartbeat_ms};
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

/// Heartbeats after a start that read the newest records, and the time between them.
///
/// Nodes that start together see each other within a second, instead of all taking every domain.
const FIRST_READS: u64 = 3;
const FIRST_HEARTBEAT: Duration = Duration::from_millis(300);

/// What writes this node's record.
struct Heartbeat<W> {
    store: CountedStore<W>,
    events: Sender<ControlEvent>,
    record: NodeRecord,
    key: ObjectKey,
    version: Option<ObjectVersion>,
    /// When the next one is due.
    due: Instant,
}

impl<A: Adapter> Control<A> {
    /// Writes this node's record and reads all of them, for ever.
    pub(super) fn heartbeats(&self) -> impl Future<Output = ()> + 'static {
        let record = own_record(&self.parts);
        let key = ObjectKey::new(format!("{NODES_PREFIX}{}", record.node));
        let (store, events) = (self.store.clone(), self.parts.events.0.clone());
        let due = Instant::now();
        let mut heartbeat = Heartbeat { store, events, record, key, version: None, due };
        let pace = self.pace.clone();
        async move {
            loop {
                let first = heartbeat.record.heartbeat < FIRST_READS;
                if first || heartbeat.due <= Instant::now() {
                    heartbeat.write(pace.nodes.get()).await;
                }
                heartbeat.read_all(first).await;
                Timer::after(if first { FIRST_HEARTBEAT } else { READ_EVERY }).await;
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
    async fn write(&mut self, nodes: u64) {
        self.record.heartbeat += 1;
        let (key, value) = (self.key.clone(), serde_json::to_string(&self.record));
        let value = value.unwrap_or_default().into();
        let request = match self.version {
            Some(version) => StoreRequest::Update { key, version, value },
            None => StoreRequest::Create { key, value },
        };
        self.version = match self.store.call(StoreKind::Nodes, &request).await {
            StoreReply::Written { version } => {
                self.due = Instant::now() + Duration::from_millis(heartbeat_ms(nodes));
                Some(version)
            }
            // The same write again; if this one took effect, it meets its own version.
            reply if !reply.is_served() => {
                self.tell(ControlEvent::NotServed).await;
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
                self.tell(ControlEvent::Nodes(objects.iter().filter_map(read).collect())).await;
            }
            reply if !reply.is_served() => self.tell(ControlEvent::NotServed).await,
            _ => {}
        }
    }

    /// The control thread lives as long as its heartbeats.
    async fn tell(&self, event: ControlEvent) {
        self.events.send(event).await.unwrap_or_default();
    }
}
