//! Invariant checks over outcomes observed at callers and targets.
//!
//! A test or benchmark reports to [`Checks`] the requests and answers of callers, the runs at
//! targets, the losses of VMs and the placements. The state that nodes report is not an input.
//!
//! | module | what it holds |
//! |---|---|
//! | [`observed`] | observations from outside the system |
//! | [`checker`] | the checks and their violations |

pub mod checker;
pub mod observed;

pub use checker::{Bounds, Checks, Tally, Violation};
pub use observed::{Answer, CallId, Observation, OperationId, Piece};
