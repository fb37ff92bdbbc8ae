//! Domain types shared by every process: names, intent, placement, reports, verdicts.
//!
//! | module | contents |
//! |---|---|
//! | [`names`] | names of VMs, deployments and others; fencing numbers, generations, incarnations |
//! | [`time`] | instants on a node's own clock |
//! | [`request`] | caller requests, their verdicts and refusals |
//! | [`config`] | intent declared by operators, and the configuration in force |
//! | [`placement`] | assignment of VMs to replicas |
//! | [`report`] | reports by members and by the platform; orders to members |
//! | [`audit`] | plans and records of configuration changes |
//! | [`operator`] | operator requests to a controller, and its replies |
//! | [`store`] | calls to the platform's Object API, and their replies |
//! | [`collections`] | hash maps and sets with a fast hasher |

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
