//! Encoding of calls and decoding of replies: the trait, and its implementation for the Object API.

mod object_api;
mod reply_body;
mod request;
mod store_wire;

pub use object_api::ObjectApiWire;
pub use store_wire::{Freshness, StoreWire, WireCall, WireReply};
