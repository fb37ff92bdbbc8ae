//! Mutually authenticated links between processes over QUIC.
//!
//! | module | contents |
//! |---|---|
//! | [`identity`] | certificate-based process identity |
//! | [`endpoint`] | a socket that accepts and opens links |
//! | [`wire`] | messages and frames on a link |
//! | [`pool`] | pooled links to nodes, reopened after failures |
//! | [`error`] | errors of links |
//!
//! Small messages are sent as datagrams, larger ones in unidirectional streams; both may be lost. A
//! request and its answer are sent as frames (`u32` little-endian length, then postcard) in one
//! bidirectional stream.

pub mod endpoint;
pub mod error;
pub mod identity;
pub mod pool;
pub mod wire;

pub use endpoint::{LinkEndpoint, LinkLimits};
pub use error::LinkError;
pub use identity::{Credentials, Identity, Role};
pub use pool::LinkPool;
pub use wire::{FrameStream, Link};
