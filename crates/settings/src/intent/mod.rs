//! Intent files.

mod check;
mod load;

pub use check::{IntentProblem, check_intent};
pub use load::{load_intent, parse_intent};
