//! The control thread: store feeds, coordination of domains, updates for traffic.

mod actions;
mod advisories;
mod changes;
mod control_loop;
mod coordination;
mod coordinators;
mod counted_store;
mod departures;
mod directory;
mod ends;
mod evacuations;
mod event;
mod feed;
mod feed_conditions;
mod feed_updates;
mod heartbeats;
mod limits;
mod load_quota;
mod node_discovery;
mod publish;
mod quarantine;
mod quiet;
mod relay;
mod shared_records;
mod suspicions;
mod target_client;

pub(crate) use control_loop::{Control, ControlParts};
pub(crate) use event::ControlEvent;
pub(crate) use target_client::{CalledTarget, TargetClient};
