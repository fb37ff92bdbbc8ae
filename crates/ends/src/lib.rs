//! Tells whether a target has ended, from what several nodes find and what the platform lists.
//!
//! A connection that breaks, and one that is refused, look the same whether the target has ended or
//! the path to it resets. A node that has lost a connection therefore asks its peers what a new
//! connection of theirs shows: one that is accepted rules the end out. Where nobody has a path, the
//! platform's list settles the question later: it names another start of the target, or still the
//! same one after the time in which the entry of an ended target lapses.
//!
//! The crate performs no I/O: the caller passes the time, opens the connections, asks the peers and
//! looks targets up.
//!
//! | type | purpose |
//! |---|---|
//! | [`EndChecks`] | the checks under way: whom to ask when, and the verdicts |
//! | [`TargetProcess`] | one start of a target |
//! | [`Finding`] | what a node finds when it connects to a target |
//! | [`Listing`] | what the platform lists of a target |
//! | [`EndVerdict`] | what is known of an end, and by which [`Evidence`] |

mod end_check;
mod end_checks;
mod evidence;
mod finding;
mod listing;
mod target_process;
mod verdict;

pub use end_check::DECISION_TIMES;
pub use end_checks::EndChecks;
pub use evidence::Evidence;
pub use finding::Finding;
pub use listing::Listing;
pub use target_process::TargetProcess;
pub use verdict::EndVerdict;
