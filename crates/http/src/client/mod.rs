//! A connection to a target, and the pool of idle connections.

mod connection;
mod error;
mod framing;
mod pool;
mod request_body;

pub use connection::Connection;
pub use error::ConnectionError;
pub use framing::InvalidHead;
pub use pool::{ConnectionPool, PoolSettings};
pub use request_body::RequestBody;
