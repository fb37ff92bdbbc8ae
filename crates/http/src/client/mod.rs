//! A connection to a target, and the pool of idle connections.

mod channel;
mod error;
mod pool;

pub use channel::Channel;
pub use error::ChannelError;
pub use pool::{ChannelPool, PoolSettings};
