//! A connection to a target, and the pool of idle connections.

mod connection;
mod error;
mod pool;
mod request_body;

pub use connection::Connection;
pub use error::ConnectionError;
pub use pool::{ConnectionPool, PoolSettings};
pub use request_body::RequestBody;
