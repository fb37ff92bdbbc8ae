//! The state machine and its actions.

mod action;
mod fleet_view;
mod pending_fetch;
mod receiving;
mod spread;
mod store;
mod ticking;

pub use action::SpreadAction;
pub use fleet_view::{FleetView, SpreadPeer};
pub(crate) use pending_fetch::PendingFetch;
pub use spread::Spread;
