//! Holds what targets say in their answers: rates, summed over all nodes, and pauses and departures,
//! by each node for itself.
//!
//! A target in need names how many requests a second it takes from all nodes together. A part held
//! by every node alone would exceed it with the first request of each: a few nodes, the same in
//! the view of all, send to such a target and share the rate, and the others send to other targets.
//! Records in the store tell every node which targets are limited, and when a limit has ended.
//!
//! The crate performs no I/O: the caller passes the time and carries out the writes.
//!
//! | type | purpose |
//! |---|---|
//! | [`TargetLimits`] | the limited targets, as one node knows them |
//! | [`LimitRecord`] | what the store holds of a limited target |
//! | [`NodeView`] | which targets are listed, and where this node stands in the order for one |
//! | [`TargetLimit`] | the rate of a target, and this node's part of it |
//! | [`BackOffs`] | the targets that have asked this node for a pause |
//! | [`Departures`] | the targets that have announced to this node that they leave |

mod back_offs;
mod departures;
mod limit_record;
mod node_view;
mod target_limit;
mod target_limits;

pub use back_offs::BackOffs;
pub use departures::Departures;
pub use limit_record::LimitRecord;
pub use node_view::{NodeView, Position};
pub use target_limit::TargetLimit;
pub use target_limits::{LimitWrite, TargetLimits};
