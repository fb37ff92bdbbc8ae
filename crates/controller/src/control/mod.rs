//! The thread that runs the state machine.

mod control_loop;
mod executor;
mod message;
mod progress;

pub(crate) use control_loop::ControlLoop;
pub(crate) use executor::Executor;
pub(crate) use message::{Inbox, Message, OperatorMessage};
pub(crate) use progress::ControlProgress;
