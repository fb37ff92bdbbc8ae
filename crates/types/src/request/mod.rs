//! Caller requests, their verdicts and refusals.

mod head;
mod refusal;
mod verdict;

pub use head::{Idempotency, RequestClass, RequestHead};
pub use refusal::{Refusal, RefusalCode};
pub use verdict::Verdict;
