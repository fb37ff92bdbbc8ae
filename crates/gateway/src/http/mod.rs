//! The listeners.

mod callers;
mod headers;
mod refusal;
mod small;

pub(crate) use callers::answer_caller;
pub(crate) use headers::strip_hop_by_hop;
pub(crate) use refusal::refusal_parts;
pub(crate) use small::{CUT_OFF, answer_lookup, answer_metrics, answer_ready};
