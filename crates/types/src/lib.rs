//! Domain types shared by every process: names, intent, placement, reports, verdicts.
//!
//! | module | what it holds |
//! |---|---|
//! | [`names`] | names of VMs, organisations, deployments; fences, generations, incarnations |
//! | [`time`] | instants and spans of one node's own elapsed time |
//! | [`request`] | what callers ask, its verdict and its refusal |
//! | [`config`] | what operators declare |
//! | [`placement`] | which VM belongs to which replica |
//! | [`report`] | what members and the platform report; orders to members |
//! | [`audit`] | who changed what, and the plan that was confirmed |
//! | [`operator`] | what operators ask of a controller, and its answers |
//! | [`store`] | calls to the platform's Object API and their answers, as data |
//! | [`collections`] | hash maps with a fast hasher |

pub mod audit;
pub mod collections;
pub mod config;
pub mod names;
pub mod operator;
pub mod placement;
pub mod report;
pub mod request;
pub mod store;
pub mod time;

pub use audit::{Change, ChangeRecord, Plan, PlanEffect, PlanId};
pub use collections::{Map, Set};
pub use config::{
    Config, ConfigNumber, Deployment, FencingMode, Intent, Objective, Organisation, PlainService,
    PlainTarget, Priority,
};
pub use names::{
    AdapterName, Boot, DataCentreName, DeploymentName, DomainName, Fence, Generation, Incarnation,
    ModelName, ModelVersion, NodeName, OperatorName, OrganisationName, ReplicaName, RequestId,
    ServiceName, VmName,
};
pub use operator::{
    DataCentreStatus, DomainHealth, DomainStatus, LeaseStatus, OperatorRefusal, OperatorReply,
    OperatorRequest, StatusReport,
};
pub use placement::{DomainPlacement, ReleasingVm, Replica, ReplicaPhase};
pub use report::{Formation, MemberReport, Order, OrderKind, VmEntry, VmPhase, VmRole};
pub use request::{Idempotency, Refusal, RefusalCode, RequestClass, RequestHead, Verdict};
pub use time::TimeMs;
