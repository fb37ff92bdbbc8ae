//! The controller process: forms replicas, orders targets, answers operators.
//!
//! | module | contents |
//! |---|---|
//! | [`args`] | the command line |
//! | [`process`] | start and stop of the process |
//! | `control` | the thread that runs the state machine |
//! | `http` | health, readiness and metrics |
//! | `members` | polls and orders to members, the VM list |
//! | `operators` | links of operators |
//!
//! One thread only runs [`ControllerNode`](celeryhaven_node::ControllerNode). Calls, polls, orders
//! and operators' links are tasks on other threads.

pub mod args;
mod control;
mod http;
mod members;
mod operators;
pub mod process;

pub use args::{Args, ArgsError};
pub use process::{ProcessError, run};
