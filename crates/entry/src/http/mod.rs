//! HTTP interface for callers.

mod answer_body;
mod authorise;
mod body;
mod completion;
mod context;
mod guard;
mod public;
mod refusal;
mod rejection;
mod request_completion;
mod request_options;
mod respond;
mod routes;
mod server;
mod service;

pub(crate) use context::{HttpContext, Limits};
pub(crate) use respond::notify_disconnected;
pub(crate) use server::serve;
pub(crate) use service::submit;
