//! All other nodes: coordinators, relays, and nodes advertised to callers.

mod node_state;
mod peers;
mod upstream;

pub use peers::{Peers, heartbeat_interval_ms};
pub use upstream::Upstream;
