//! Decides which requests a node that stops may still begin.
//!
//! A node that is told to stop goes on for some seconds, because callers keep its address. What it
//! begins and cannot end is cut at its exit, and its caller loses the answer; what it refuses as not
//! run costs its caller one more hop. So a request begins only if it can be expected to end before the
//! process does.
//!
//! The crate performs no I/O: the caller passes the time, and looks for the signal.
//!
//! | type | purpose |
//! |---|---|
//! | [`StopWatch`] | when the stop was asked for at the earliest |
//! | [`GracefulStop`] | which requests may begin until the exit |
//! | [`AnswerTimes`] | how long answers have taken lately, by route and length |

mod answer_times;
mod graceful_stop;
mod stop_watch;

pub use answer_times::AnswerTimes;
pub use graceful_stop::{GracefulStop, PendingRequest};
pub use stop_watch::StopWatch;
