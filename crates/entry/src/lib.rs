//! The entry process: admits, queues, routes, streams.
//!
//! | module | what it holds |
//! |---|---|
//! | [`process`] | starting, leaving |
//! | `control` | the thread that drives the node's state machine |
//! | `exchange` | one caller's request and its answer, between threads |
//! | [`forward`] | attempts at targets |
//! | `http` | what callers see |
//! | `peer` | links to other entries |
//!
//! One thread drives [`EntryNode`](celeryhaven_node::EntryNode) and does nothing else. Requests and
//! answers move on other threads; they tell the control thread what happened and carry out what it
//! decides.

mod control;
mod exchange;
pub mod forward;
mod http;
mod peer;
pub mod process;

pub use process::{EntryProcess, ProcessError};
