use std::time::Duration;

use celeryhaven_types::store::{Object, ObjectKey, StoreReply, StoreRequest};
use smol::Timer;

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::event::ControlEvent;
use crate::control::nodes::{NODES_PREFIX, NodeRecord};

/// Time between two heartbeats of this node's record, and between two reads of all records.
///
/// Load: every node writes and reads them. Harm: at one a second, 340 nodes would spend most of
/// the store's writes. Limit: deciders that die are noticed by probes, not by this.
const HEARTBEAT: Duration = Duration::from_millis(3_000);

/// Heartbeats after a start that read the newest records, and the time between them.
///
/// Nodes that start together see each other within a second, instead of all taking every domain.
const FIRST_READS: u64 = 3;
const FIRST_HEARTBEAT: Duration = Duration::from_millis(300);

impl<A: Adapter> Control<A> {
    /// Writes this node's record and reads all of them, for ever.
    pub(super) fn heartbeats(&self) -> impl Future<Output = ()> + 'static {
        let client = self.parts.client.clone();
        let events = self.parts.events.0.clone();
        let mut record = self.own_record();
        async move {
            let key = ObjectKey::new(format!("{NODES_PREFIX}{}", record.node));
            let prefix = ObjectKey::new(NODES_PREFIX);
            let mut version = None;
            loop {
                record.heartbeat += 1;
                let value = serde_json::to_string(&record).unwrap_or_default().into();
                let request = match version {
                    Some(version) => StoreRequest::Update { key: key.clone(), version, value },
                    None => StoreRequest::Create { key: key.clone(), value },
                };
                let written = client.call(&request).await;
                if !written.is_served() {
                    events.send(ControlEvent::NotServed).await.unwrap_or_default();
                }
                version = match written {
                    StoreReply::Written { version } => Some(version),
                    // The same write again; if this one took effect, it meets its own version.
                    ref reply if !reply.is_served() => version,
                    // Another start of this node has written it, or an answer was lost.
                    _ => match client.call(&StoreRequest::Get { key: key.clone() }).await {
                        StoreReply::Found(object) => Some(object.version),
                        _ => None,
                    },
                };
                let list = StoreRequest::List { prefix: prefix.clone() };
                let first = record.heartbeat <= FIRST_READS;
                let reply = match first {
                    true => client.call(&list).await,
                    false => client.read_stale(&list).await,
                };
                if let StoreReply::Listed { objects, .. } = reply {
                    let read =
                        |object: &Object| serde_json::from_str::<NodeRecord>(&object.value).ok();
                    let records = objects.iter().filter_map(read).collect();
                    events.send(ControlEvent::Nodes(records)).await.unwrap_or_default();
                }
                Timer::after(if first { FIRST_HEARTBEAT } else { HEARTBEAT }).await;
            }
        }
    }

    pub(super) fn own_record(&self) -> NodeRecord {
        let settings = &self.parts.settings;
        NodeRecord {
            node: settings.node.clone(),
            data_centre: settings.data_centre.clone(),
            caller_address: settings.caller_listen,
            ready_address: settings.ready_listen,
            peer_address: settings.peer_listen,
            token: self.parts.token.clone(),
            boot: self.parts.boot,
            heartbeat: 0,
            ready: true,
        }
    }
}
