//! All other nodes: who decides, who relays, who is named to callers.

mod peers;
mod seen;
mod upstream;

pub use peers::{Peers, heartbeat_interval_ms};
pub use upstream::Upstream;
