//! A socket that accepts and opens links.

mod limits;
mod link_endpoint;
mod tls;

pub use limits::LinkLimits;
pub use link_endpoint::LinkEndpoint;
