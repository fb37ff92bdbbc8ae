//! A caller of the completion API and of plain services that validates the answers.

mod client;
mod events;
mod outcome;

pub use client::{Ask, Caller, PlainCall};
pub use outcome::{Outcome, Reply};
