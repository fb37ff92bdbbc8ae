//! Domain types for a platform's routes, models and targets, without I/O.
//!
//! | module | contents |
//! |---|---|
//! | [`config`] | the operators' configuration |
//! | [`relay`] | objects and changes that a relay retains for its followers |
//! | [`routes`] | lookup of routes and API keys |
//! | [`target`] | listed targets, their membership of replicas, and the orders they accept |
//! | [`view`] | all listed targets and the replicas that they report |

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
pub use view::{
    AnswerRun, DomainTargets, Evacuations, FleetView, Replica, ReplicaKey, UnlistedChange,
    UnlistedEnd, UnlistedTarget,
};
