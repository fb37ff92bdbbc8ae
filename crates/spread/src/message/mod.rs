//! What nodes send each other.

mod wire;

pub use wire::{QueryId, SpreadMessage, Summary};
