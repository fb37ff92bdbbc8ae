//! Request processing from arrival to final answer.

mod admission;
mod attempts;
mod decisions;
mod fingerprint;
mod keys;
mod request;
mod requests;

pub(crate) use fingerprint::fingerprint;
pub(crate) use request::{Request, Running, Stage};
pub(crate) use requests::Requests;
