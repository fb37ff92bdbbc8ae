//! The state machine that drivers use.

mod action;
mod fleet_view;
mod receiving;
mod spread;
mod store;
mod ticking;
mod wanted;

pub use action::SpreadAction;
pub use fleet_view::{FleetView, SpreadPeer};
pub use spread::Spread;
pub(crate) use wanted::Wanted;
