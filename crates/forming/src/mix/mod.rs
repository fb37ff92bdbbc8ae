//! How many replicas of each model a domain should have.

mod balance;
mod wanted;

pub use balance::Balance;
pub use wanted::{DomainPosition, ModelCount, wanted_replicas};
