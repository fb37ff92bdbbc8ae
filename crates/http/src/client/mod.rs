//! One channel to a target, and the pool of those that are idle.

mod channel;
mod error;
mod pool;

pub use channel::Channel;
pub use error::ChannelError;
pub use pool::{ChannelPool, PoolSettings};
