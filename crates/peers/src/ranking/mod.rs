//! Nodes in an order that every node finds alike.

mod rendezvous;

pub use rendezvous::Ranking;
