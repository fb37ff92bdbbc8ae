//! The controller process: forms replicas, orders targets, answers operators.
//!
//! | module | what it holds |
//! |---|---|
//! | [`args`] | the command line |
//! | [`process`] | starting, leaving |
//! | `control` | the thread that drives the state machine |
//! | `http` | health, readiness, metrics |
//! | `members` | polls and orders to members, the VM list |
//! | `operators` | links of operators |
//!
//! One thread drives [`ControllerNode`](celeryhaven_node::ControllerNode) and does nothing else.
//! Calls, polls, orders and operators' links are tasks on other threads.

pub mod args;
mod control;
mod http;
mod members;
mod operators;
pub mod process;

pub use args::{Args, ArgsError};
pub use process::{ProcessError, run};
