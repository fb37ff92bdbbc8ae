//! Node order that is the same on every node.

mod rendezvous;

pub use rendezvous::Ranking;
