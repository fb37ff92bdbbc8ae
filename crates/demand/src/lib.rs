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
//! | [`ModelShares`] | the share of the targets that each model should have |

mod demand;
mod meter;
mod shares;
mod tree;

pub use demand::Demand;
pub use meter::DemandMeter;
pub use shares::{FleetSize, ModelShares};
pub use tree::DemandTree;
