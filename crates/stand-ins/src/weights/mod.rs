//! Stand-in for the rate-limited weights store.

mod store;

pub use store::{WeightsRead, WeightsStore};
