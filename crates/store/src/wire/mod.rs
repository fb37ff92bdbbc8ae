//! How calls and answers are written: the trait, and the Object API's own form.

mod body;
mod line;
mod object_api;
mod store_wire;

pub use object_api::ObjectApiWire;
pub use store_wire::{Freshness, StoreWire, WireCall, WireReply};
