//! Tells a node that has lost its links to all targets from targets that have ended.
//!
//! A node that judges each target by itself takes its own cut for the end of every target. Before it
//! concludes anything from a failed call, it opens new connections to several other targets of the
//! service: if none can be opened, the node is isolated from the service. Connections that were open
//! before tell nothing, for they may live on while new ones are refused.
//!
//! The crate performs no I/O: the caller passes the time, opens the connections and reports what
//! became of them.
//!
//! | type | purpose |
//! |---|---|
//! | [`IsolationDetector`] | state of the links to each service; which checks are due |
//! | [`DueCheck`] | a check to be made |
//! | [`CheckOutcome`] | what a check has found |
//! | [`LinkChange`] | a service from which the node is isolated, or no longer |

mod check;
mod detector;
mod service_links;

pub use check::{CheckOutcome, DueCheck, LinkChange};
pub use detector::IsolationDetector;
