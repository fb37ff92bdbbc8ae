//! Retry budget, and the retry times given to refused callers.

mod budget;
mod retry_schedule;
mod shared_budget;

pub(crate) use budget::RetryBudget;
pub(crate) use retry_schedule::RetrySchedule;
pub use shared_budget::SharedRetryBudget;
