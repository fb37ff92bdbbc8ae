//! Spread of versioned configuration that never reverts, without I/O.
//!
//! A few nodes of each data centre (the relays) follow the Object API. Every other node queries a
//! relay once per period and is notified of changes as they arrive. Each object has a high-water
//! version, and changes at or below it are ignored. A node confirms its copy only while it has
//! evidence that the Object API still holds it, or during an outage of the Object API that affects
//! the whole fleet.
//!
//! | module | contents |
//! |---|---|
//! | [`settings`] | periods and limits |
//! | [`cache`] | objects with their high-water versions |
//! | [`feed`] | follower of one prefix of the Object API |
//! | [`evidence`] | whether a copy is confirmed as current |
//! | [`message`] | messages between nodes |
//! | [`machine`] | the state machine and its actions |
//!
//! ```
//! use celeryhaven_spread::ObjectCache;
//! use celeryhaven_types::store::{ObjectChange, ObjectKey, ObjectVersion};
//!
//! let key = ObjectKey::new("config/current");
//! let at = |version, value: &str| ObjectChange {
//!     key: key.clone(),
//!     version: ObjectVersion::new(version),
//!     value: Some(value.into()),
//! };
//! let mut cache = ObjectCache::default();
//! assert!(cache.apply(&at(2, "new")));
//! assert!(!cache.apply(&at(1, "old")));
//! assert_eq!(cache.value(&key), Some("new"));
//! ```
//!
//! `examples/cut_off_node.rs` runs three nodes in virtual time and cuts one of them off:
//! `cargo run -p celeryhaven-spread --example cut_off_node`.

pub mod cache;
pub mod evidence;
pub mod feed;
pub mod machine;
pub mod message;
pub mod settings;

pub use cache::ObjectCache;
pub use evidence::Confirmation;
pub use feed::{Feed, FeedUpdate};
pub use machine::{FleetView, Spread, SpreadAction, SpreadPeer};
pub use message::{QueryId, SpreadMessage, Summary};
pub use settings::SpreadSettings;
