//! Retry budget, and the retry times given to refused callers.

mod budget;
mod retry_schedule;

pub(crate) use budget::RetryBudget;
pub(crate) use retry_schedule::RetrySchedule;
