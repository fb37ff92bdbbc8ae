//! Measures the offered load of each model and derives the models' shares of the targets.
//!
//! Each node measures the load that its callers offer and reports it to the relay that it follows.
//! Relays report the sum of their followers upstream, and the root's total comes back with its
//! answers, so that every node learns the demand of the fleet without additional messages. The
//! crate performs no I/O: the caller passes the time.
//!
//! | type | purpose |
//! |---|---|
//! | [`DemandMeter`] | measures the load offered to one node |
//! | [`Demand`] | the offered load of one node or of several |
//! | [`DemandTree`] | sums the reports of followers and stores the demand of the fleet |
//! | [`RecentDemand`], [`RecentMeter`] | the short-term demand and its measurement at one node |
//! | [`SlotShare`] | a node's share of the slots by its part of the demand |
//! | [`ModelShares`] | the share of the targets that each model should have |

mod demand;
mod meter;
mod recent;
mod recent_meter;
mod shares;
mod slot_share;
mod tree;

pub use demand::Demand;
pub use meter::DemandMeter;
pub use recent::{RECENT_AGE_MS_MAX, RecentDemand};
pub use recent_meter::RecentMeter;
pub use shares::{FleetSize, ModelShares};
pub use slot_share::{FleetDemand, SlotShare};
pub use tree::{DemandTree, ReportFault};
