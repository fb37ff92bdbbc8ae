//! Spread of versioned configuration that never reverts, without I/O.
//!
//! A few nodes of each data centre (the relays) follow the Object API; every other node asks a
//! relay once in each period and is told of changes as they come. Each object has a high-water
//! version below which nothing is taken. A node vouches for its copy only while it has evidence
//! that the Object API still holds it, or while the Object API is down for everybody.
//!
//! | module | what it holds |
//! |---|---|
//! | [`settings`] | periods and limits |
//! | [`cache`] | objects with their high-water versions |
//! | [`feed`] | following one prefix of the Object API |
//! | [`evidence`] | how long a copy may be vouched for |
//! | [`message`] | what nodes send each other |
//! | [`machine`] | the state machine that drivers use |
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
//! A whole run in virtual time, with a node that is cut off, is in `examples/cut_off_node.rs`:
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
