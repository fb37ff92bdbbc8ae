//! Events, actions and state of a controller.
//!
//! | module | contents |
//! |---|---|
//! | [`interface`] | events, actions and settings |
//! | `state` | leases, fabric domains, the allocation |
//! | `operators` | operator requests |

mod controller_node;
pub mod interface;
mod operators;
mod state;

pub use controller_node::ControllerNode;
pub use interface::{
    ControllerAction, ControllerEvent, ControllerOptions, OperatorTicket, OrderOutcome,
};
