//! Request handlers of the HTTP listeners.

mod callers;
mod endpoints;
mod headers;
mod refusal;
mod request_body;
mod resolve;

pub(crate) use callers::answer_caller;
pub(crate) use endpoints::{
    CUT_OFF_HEADER, ISOLATED_HEADER, answer_lookup, answer_metrics, answer_ready,
};
pub(crate) use headers::{is_coded, strip_hop_by_hop, strip_run_headers};
pub(crate) use refusal::refusal_parts;
pub(crate) use resolve::NOT_READY_RETRY_AFTER_MS;
