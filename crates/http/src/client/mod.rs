//! A connection to a target, and the pool of idle connections.

mod connection;
mod error;
mod pool;

pub use connection::Connection;
pub use error::ConnectionError;
pub use pool::{ConnectionPool, PoolSettings};
