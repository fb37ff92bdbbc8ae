//! How many replicas of each model a domain of some size should hold.

mod wanted;

pub use wanted::{ModelCount, wanted_replicas};
