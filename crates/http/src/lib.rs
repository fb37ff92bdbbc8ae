//! HTTP/1.1 over smol: channels to targets and a server for callers.
//!
//! | module | what it holds |
//! |---|---|
//! | [`socket`] | TCP sockets and timers for `hyper` |
//! | [`client`] | one channel to a target, and the pool of those that are idle |
//! | [`events`] | streams of events, cut where another target can go on |
//! | [`server`] | the listener for callers |
//!
//! `hyper` stands here and not `trillium`: a handler of `trillium` is not told that its caller has
//! left before the answer begins, and a channel of its client cannot be given up by itself.

pub mod client;
pub mod events;
pub mod server;
pub mod socket;

pub use client::{Channel, ChannelError, ChannelPool, PoolSettings};
pub use events::EventSplitter;
pub use server::{Listener, ServerLimits, StopSignal};
pub use socket::{SmolIo, SmolTimer};
