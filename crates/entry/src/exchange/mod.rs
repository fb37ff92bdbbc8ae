//! A caller's request and its answer, shared between threads.

mod answer;
mod answer_cache;
mod registry;
mod request;
mod state;

pub(crate) use answer::{AnswerHead, AnswerPart, End};
pub(crate) use answer_cache::{AnswerCache, CachedAnswer};
pub(crate) use registry::Registry;
pub(crate) use request::{ForwardRequest, RequestKind};
pub(crate) use state::Exchange;
