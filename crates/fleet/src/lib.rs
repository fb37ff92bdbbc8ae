//! What a platform tells of routes, models and targets, as domain types without I/O.
//!
//! | module | what it holds |
//! |---|---|
//! | [`config`] | one version of the operators' configuration |
//! | [`relay`] | what a relay keeps for nodes that ask it instead of the store |
//! | [`routes`] | which route a request takes, and whose key it carries |
//! | [`target`] | one listed target, its membership of a replica, the orders it takes |
//! | [`view`] | all listed targets, and the replicas they report to form |

pub mod config;
pub mod relay;
pub mod routes;
pub mod target;
pub mod view;

pub use config::{
    CallerLimits, Configuration, EngineProfile, KeyHolder, ModelProfile, Route, RouteKind, Service,
    ServiceShare,
};
pub use relay::{ChangeLog, RelayAnswer, StoreContact};
pub use routes::{RouteKey, RouteTable};
pub use target::{
    CloseMode, MemberState, Membership, OrderOutcome, TargetEntry, TargetOrder, TargetPhase,
};
pub use view::{DomainTargets, FleetView, Replica, ReplicaKey};
