//! Which targets form which replica, and the orders that follow, without I/O.
//!
//! Each fabric domain has one decider at a time. It holds no lease: before any join it writes the
//! domain's record under the condition that nobody else has, and the version of that write is the
//! generation of the replicas that it plans. A former decider fails at the condition, and its late
//! orders carry a lower generation, which targets refuse.
//!
//! | module | what it holds |
//! |---|---|
//! | [`interface`] | what a [`DomainPlanner`] hears and does, and its settings |
//! | [`mix`] | how many replicas of each model a domain of some size should hold |
//! | [`record`] | the domain's record in the store |
//! | [`domain`] | the state machine of one domain's decider |

pub mod domain;
pub mod interface;
pub mod mix;
pub mod record;

pub use domain::DomainPlanner;
pub use interface::{
    FormingAction, FormingEvent, FormingSettings, FormingView, ListedDomain, OrderId, Reachability,
};
pub use mix::{Balance, DomainPosition, ModelCount, wanted_replicas};
pub use record::{DomainRecord, PlannedReplica};
