//! Hash maps and sets with a fast hasher.

mod alias;

pub use alias::{Map, Set};
