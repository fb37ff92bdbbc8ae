//! Client of the platform's Object API.
//!
//! [`StoreClient`] carries out a [`StoreRequest`](celeryhaven_types::store::StoreRequest) and says
//! what became of it as a [`StoreReply`](celeryhaven_types::store::StoreReply). It never tries
//! again by itself: whoever asked knows whether a second try is harmless.
//!
//! | module | what it holds |
//! |---|---|
//! | `client` | sending, timeouts, verdicts |
//! | [`wire`] | how calls and answers are written |
//!
//! A write whose answer is lost is in `examples/read_back.rs`:
//! `cargo run -p celeryhaven-store --example read_back`.

mod client;
pub mod wire;

pub use client::StoreClient;
pub use wire::{Freshness, ObjectApiWire, StoreWire, WireCall, WireReply};
