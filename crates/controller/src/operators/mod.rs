//! Links of operators.

mod server;

pub(crate) use server::serve;
