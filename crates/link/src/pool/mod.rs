//! Pooled links to nodes, reopened after failures.

mod backoff;
mod link_pool;

pub use backoff::Backoff;
pub use link_pool::LinkPool;
