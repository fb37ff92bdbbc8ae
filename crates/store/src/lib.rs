//! Client of the platform's Object API.
//!
//! [`StoreClient`] executes a [`StoreRequest`](celeryhaven_types::store::StoreRequest) and returns
//! a [`StoreReply`](celeryhaven_types::store::StoreReply). It never retries: only its caller knows
//! whether a retry is safe.
//!
//! | module | what it holds |
//! |---|---|
//! | `client` | the client: connections, timeouts, paging |
//! | [`wire`] | encoding of calls and decoding of replies |
//!
//! `examples/read_back.rs` reads an object back after the reply to a write was lost:
//! `cargo run -p celeryhaven-store --example read_back`.

mod client;
pub mod wire;

pub use client::StoreClient;
pub use wire::{Freshness, ObjectApiWire, StoreWire, WireCall, WireReply};
