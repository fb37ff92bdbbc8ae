//! Operator requests, executed step by step.

mod change;
mod decisions;
mod requests;
mod status;
mod step;
mod task;

pub(crate) use change::{ChangeOutcome, accepted_config, change_outcome};
pub(crate) use requests::OperatorRequests;
pub(crate) use status::status_report;
pub(crate) use step::{Outcome, Read, Step};
pub(crate) use task::Task;
