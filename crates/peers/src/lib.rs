//! The other nodes of a fleet, as their records and probes show them, without I/O.
//!
//! | module | what it holds |
//! |---|---|
//! | [`node`] | what a node tells of itself, and what a probe of it showed |
//! | [`ranking`] | nodes in an order that every node finds alike |
//! | [`fleet`] | all other nodes: who decides, who relays, who is named to callers |

pub mod fleet;
pub mod node;
pub mod ranking;

pub use fleet::{Peers, Upstream, heartbeat_interval_ms};
pub use node::{NodeRecord, ProbeResult};
pub use ranking::Ranking;
