//! How much work callers offer for each model, and which part of the targets that asks for.
//!
//! Each node meters the work that arrives at it. Nodes report it to the relay that they follow,
//! relays report the sum of theirs to the relay above, and the root's sum comes back with its
//! answers, so every node learns the demand of the whole fleet without a message of its own. No
//! I/O: time comes in as an argument.
//!
//! | type | what it does |
//! |---|---|
//! | [`DemandMeter`] | measures the work offered to one node |
//! | [`Demand`] | what was measured, of one node or of many |
//! | [`DemandTree`] | sums what the nodes below report, and keeps what the one above tells |
//! | [`ModelShares`] | the part of the targets that each model should have |

mod demand;
mod meter;
mod shares;
mod tree;

pub use demand::Demand;
pub use meter::DemandMeter;
pub use shares::{FleetSize, ModelShares};
pub use tree::DemandTree;
