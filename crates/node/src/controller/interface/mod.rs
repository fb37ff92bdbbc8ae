//! Events, actions and settings of a controller.

mod action;
mod event;
mod options;

pub use action::ControllerAction;
pub use event::{ControllerEvent, OperatorTicket, OrderOutcome};
pub use options::ControllerOptions;
