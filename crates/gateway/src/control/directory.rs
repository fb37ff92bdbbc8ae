use celeryhaven_peers::{NodeRecord, Peers, RelayDirectory, Upstream};
use celeryhaven_store::{Freshness, StoreCodec};
use celeryhaven_types::TimeMs;
use celeryhaven_types::store::{ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use slog::info;

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::counted_store::{CountedStore, StoreCallKind};
use crate::control::event::ControlEvent;
use crate::control::feed_conditions::FleetScale;

/// Key of the directory of relays in the store.
const DIRECTORY_KEY: &str = "relays/directory";

/// Nodes of the directory that a relay asks while the roots do not answer.
const OTHERS_MAX: usize = 6;

/// Shortest interval between two writes of the directory, in milliseconds.
const WRITE_INTERVAL_MS: u64 = 1_000;

/// The directory of relays of a large fleet, as this node knows it.
#[derive(Debug, Default)]
pub(super) struct DirectoryState {
    /// The directory and its version.
    stored: Option<(RelayDirectory, ObjectVersion)>,
    /// Whether this node publishes the first directory.
    is_first_publisher: bool,
    pub(super) is_being_written: bool,
    written_at: Option<TimeMs>,
}

impl<A: Adapter> Control<A> {
    /// Lets this node learn the fleet from relays; `records` are some of all nodes' records.
    pub(super) fn join_large_fleet(&mut self, records: &[NodeRecord]) {
        self.feed_conditions.fleet_scale.set(FleetScale::Large);
        let publishers = Peers::first_publishers(records);
        self.directory.is_first_publisher = publishers.contains(&self.parts.settings.node);
        info!(self.parts.log, "large fleet";
            "publishes_directory" => self.directory.is_first_publisher);
    }

    /// Applies the directory of relays.
    pub(super) fn apply_directory(&mut self, directory: RelayDirectory, version: ObjectVersion) {
        self.feed_conditions.fleet_scale.set(FleetScale::Large);
        let is_newer = self.directory.stored.as_ref().is_none_or(|(_, known)| *known < version);
        if is_newer {
            self.directory.stored = Some((directory, version));
        }
    }

    /// Applies what the store holds after a write of the directory.
    pub(super) fn apply_written_directory(&mut self, stored: StoredDirectory) {
        self.directory.is_being_written = false;
        match stored {
            StoredDirectory::Found(directory, version) => self.apply_directory(directory, version),
            StoredDirectory::Missing => self.directory.stored = None,
            StoredDirectory::Unknown => {}
        }
    }

    /// Returns the relays to follow before the records of all nodes are known.
    pub(super) fn upstream_by_directory(&self) -> Upstream {
        let own = &self.parts.settings.node;
        // A publisher reads the store itself, also when the relays of the directory are gone.
        if self.directory.is_first_publisher {
            return upstream(Vec::new(), Vec::new(), true);
        }
        let Some((directory, _)) = &self.directory.stored else {
            return upstream(Vec::new(), Vec::new(), false);
        };
        let (is_relay, is_root) = (directory.is_relay(own), directory.is_root(own));
        let relays = match (is_root, is_relay) {
            (true, _) => Vec::new(),
            (false, true) => directory.roots.clone(),
            (false, false) => {
                let data_centre = &self.parts.settings.data_centre;
                directory.by_preference(own, data_centre).into_iter().cloned().collect()
            }
        };
        let is_other = |record: &&NodeRecord| record.node != *own && !relays.contains(*record);
        let others = directory.roots.iter().chain(&directory.relays).filter(is_other);
        let others = others.filter(|_| is_relay).take(OTHERS_MAX).cloned().collect();
        upstream(relays, others, is_relay)
    }

    /// Writes the directory if it is this node's task and the relays have changed.
    pub(super) fn publish_directory(&mut self, now: TimeMs) {
        let is_large = self.feed_conditions.fleet_scale.get() == FleetScale::Large;
        let is_recent =
            self.directory.written_at.is_some_and(|at| now.since(at) < WRITE_INTERVAL_MS);
        if !is_large || !self.nodes_listed || is_recent || self.directory.is_being_written {
            return;
        }
        let is_first_root = self.peers.roots().first() == Some(&self.parts.settings.node);
        let is_first_publisher = std::mem::take(&mut self.directory.is_first_publisher);
        if !is_first_root && !is_first_publisher {
            return;
        }
        let directory = self.peers.relay_directory();
        if self.directory.stored.as_ref().is_some_and(|(stored, _)| *stored == directory) {
            return;
        }
        let version = self.directory.stored.as_ref().map(|(_, version)| *version);
        self.directory.is_being_written = true;
        self.directory.written_at = Some(now);
        let (store, events) = (self.store.clone(), self.parts.events.0.clone());
        let write = async move {
            let written = write_directory(&store, directory, version).await;
            events.send(ControlEvent::DirectoryWritten(written)).await.unwrap_or_default();
        };
        self.executor.spawn(write).detach();
    }
}

fn upstream(relays: Vec<NodeRecord>, others: Vec<NodeRecord>, is_relay: bool) -> Upstream {
    Upstream { relays, others, is_relay, is_asked: is_relay }
}

/// What the store holds after a write of the directory.
#[derive(Clone, Debug)]
pub(crate) enum StoredDirectory {
    Found(RelayDirectory, ObjectVersion),
    Missing,
    Unknown,
}

/// Writes the directory; returns what the store holds then.
async fn write_directory<W: StoreCodec>(
    store: &CountedStore<W>,
    directory: RelayDirectory,
    version: Option<ObjectVersion>,
) -> StoredDirectory {
    let Ok(value) = serde_json::to_string(&directory) else { return StoredDirectory::Unknown };
    let value = value.into();
    let key = ObjectKey::new(DIRECTORY_KEY);
    let request = match version {
        Some(version) => StoreRequest::Update { key: key.clone(), version, value },
        None => StoreRequest::Create { key: key.clone(), value },
    };
    match store.call(StoreCallKind::Relays, &request).await {
        StoreReply::Written { version } => StoredDirectory::Found(directory, version),
        StoreReply::Conflict => {
            let reply = store.call(StoreCallKind::Relays, &StoreRequest::Get { key }).await;
            match (parse(&reply), reply) {
                (Some((directory, version)), _) => StoredDirectory::Found(directory, version),
                (None, StoreReply::Missing) => StoredDirectory::Missing,
                // One that cannot be read is replaced.
                (None, StoreReply::Found(object)) => {
                    StoredDirectory::Found(RelayDirectory::default(), object.version)
                }
                (None, _) => StoredDirectory::Unknown,
            }
        }
        _ => StoredDirectory::Unknown,
    }
}

/// Reads the directory.
pub(super) async fn read_directory<W: StoreCodec>(
    store: &CountedStore<W>,
    freshness: Freshness,
) -> Option<(RelayDirectory, ObjectVersion)> {
    let request = StoreRequest::Get { key: ObjectKey::new(DIRECTORY_KEY) };
    let reply = match freshness {
        Freshness::Latest => store.call(StoreCallKind::Relays, &request).await,
        Freshness::Stale => store.read_stale(StoreCallKind::Relays, &request).await,
    };
    parse(&reply)
}

fn parse(reply: &StoreReply) -> Option<(RelayDirectory, ObjectVersion)> {
    let StoreReply::Found(object) = reply else { return None };
    Some((serde_json::from_str(&object.value).ok()?, object.version))
}
