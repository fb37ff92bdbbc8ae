//! HTTP/1.1 over smol: connections to targets and a server for callers.
//!
//! | module | what it holds |
//! |---|---|
//! | [`socket`] | TCP sockets and timers for `hyper` |
//! | [`client`] | a connection to a target, and the pool of idle connections |
//! | [`events`] | splitting of event streams at event boundaries |
//! | [`server`] | the listener for callers |
//!
//! [`IncomingBody`] is the body of a message as it is received, at either side.
//!
//! This crate uses `hyper` because `trillium` does not notify a handler when its caller disconnects
//! before the answer begins, and its client cannot close a single connection.

pub mod client;
pub mod events;
mod incoming_body;
pub mod server;
pub mod socket;

pub use client::{
    Connection, ConnectionError, ConnectionPool, InvalidHead, PoolSettings, RequestBody,
};
pub use events::EventSplitter;
pub use incoming_body::{BodyError, IncomingBody};
pub use server::{ConnectionCounts, Listener, ServerLimits, StopSignal};
pub use socket::{MessagePart, SmolIo, SmolTimer};
