//! Messages between nodes.

mod wire;

pub use wire::{QueryId, SpreadMessage, Summary};
