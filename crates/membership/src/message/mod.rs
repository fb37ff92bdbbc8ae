//! Messages between members.

mod wire;

pub use wire::{Message, Probe};
