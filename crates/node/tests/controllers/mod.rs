//! Simulation of controllers with a fake store and fake members in virtual time.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod fixtures;
mod member;
mod store;
mod world;

pub use fixtures::{deployment, intent, with_replicas};
pub use member::FakeMember;
pub use store::{FakeStore, StoreFault};
pub use world::{Pause, Trap, TrapAction, World};
