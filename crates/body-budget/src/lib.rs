//! Decides which request bodies a node holds within its memory.
//!
//! A body is held until no further attempt can need it, so long bodies of many callers would exceed
//! any memory. Bodies get room in the order of their rank, of what their organisation holds already, and
//! of their arrival. One that announces its length
//! has a claim to the rest of it while its caller sends fast enough; a slow caller's body takes only
//! the room of what has come. Part of the room is kept for short bodies. A body that finds no room
//! waits if the bodies before it are expected to end in time, and is refused otherwise.
//!
//! The crate performs no I/O: the caller passes the time, reads the bodies and carries the decisions
//! out.
//!
//! | type | purpose |
//! |---|---|
//! | [`MemoryShares`] | how much of a node's memory bodies may use |
//! | [`BodyBudget`] | the bodies of a node, and who gets room |
//! | [`OrganisationKey`] | an organisation whose bodies share its part of the room |
//! | [`BodyHead`] | what is known of a body before it is read |
//! | [`Decision`] | whether a body is read, waits or is refused |

mod body;
mod body_budget;
mod decision;
mod hold_time;
mod memory_shares;
mod read_times;
mod return_times;
mod waiting;

pub use body::{BodyHead, BodyKey, OrganisationKey, SHORT_BYTES_MAX};
pub use body_budget::BodyBudget;
pub use decision::{BodyRefusal, Decision, RefusalReason};
pub use memory_shares::MemoryShares;
