//! Callers that ask for addresses and try again, and what they were told.

mod fleet_caller;
mod history;
mod judge;
mod tally;

pub use fleet_caller::FleetCaller;
pub use history::History;
pub use judge::judge;
pub use tally::Tally;
