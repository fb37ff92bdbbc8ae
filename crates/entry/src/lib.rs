//! The entry process: admits, queues, routes and streams requests.
//!
//! | module | what it holds |
//! |---|---|
//! | [`process`] | start and graceful stop |
//! | `control` | the thread that drives the node's state machine |
//! | `exchange` | a caller's request and its answer, shared between threads |
//! | [`forward`] | forwarding of requests to targets |
//! | `http` | HTTP interface for callers |
//! | `peer` | links to other entries |
//!
//! One thread drives [`EntryNode`](celeryhaven_node::EntryNode) and does nothing else. Requests and
//! answers are handled on other threads, which report events to the control thread and execute its
//! actions.

mod control;
mod exchange;
pub mod forward;
mod http;
mod peer;
pub mod process;

pub use process::{EntryProcess, ProcessError};
