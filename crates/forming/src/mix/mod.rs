//! How many replicas of each model a domain of some size should hold.

mod wanted;

pub use wanted::{DomainPlace, ModelCount, wanted_replicas};
