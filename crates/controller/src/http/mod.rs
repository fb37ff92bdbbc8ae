//! Health, readiness and metrics.

mod server;

pub(crate) use server::serve;
