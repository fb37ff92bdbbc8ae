//! Membership view of a fleet: the other nodes, derived from their records and probes, without I/O.
//!
//! | module | contents |
//! |---|---|
//! | [`node`] | node records, probe results, and whether this node has stood still |
//! | [`ranking`] | node order that is the same on every node |
//! | [`fleet`] | all other nodes: coordinators, relays, and nodes advertised to callers |

pub mod fleet;
pub mod node;
pub mod ranking;

pub use fleet::{Peers, RelayDirectory, Upstream, heartbeat_interval_ms};
pub use node::{NodeRecord, ProbeResult, Standstill};
pub use ranking::Ranking;
