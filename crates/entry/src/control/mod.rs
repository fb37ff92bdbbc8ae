//! Control thread: drives the node's state machine.

mod action_executor;
mod calls;
mod control_loop;
mod handle;
mod mailbox;
mod message;
mod reads;
mod view;

pub(crate) use action_executor::ActionExecutor;
pub(crate) use calls::Calls;
pub(crate) use control_loop::ControlLoop;
pub(crate) use handle::ControlHandle;
pub(crate) use mailbox::Mailbox;
pub(crate) use message::{Message, Query};
pub(crate) use reads::Reader;
pub(crate) use view::View;
