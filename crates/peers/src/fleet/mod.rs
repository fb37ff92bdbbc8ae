//! All other nodes: coordinators, relays, and nodes advertised to callers.

mod node_state;
mod peers;
mod relay_directory;
mod upstream;

pub use peers::{Peers, heartbeat_interval_ms};
pub use relay_directory::RelayDirectory;
pub use upstream::Upstream;
